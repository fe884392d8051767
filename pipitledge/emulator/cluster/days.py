"""Many days of the whole cluster in virtual time, played side by side by several processes."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator, Sequence
from concurrent.futures import Executor, ProcessPoolExecutor

from pipitledge.emulator.cluster.day import Verdict, play


def play_all(seeds: Sequence[int], jobs: int, trouble_s: float) -> Iterator[Verdict]:
    """The verdict on the day of each seed, in the order of the seeds; `jobs` processes play them."""
    with ProcessPoolExecutor(jobs) as executor:
        yield from verdicts(executor, seeds, trouble_s)


def verdicts(executor: Executor, seeds: Sequence[int], trouble_s: float) -> Iterator[Verdict]:
    """The verdicts on days that an executor plays."""
    yield from executor.map(play, seeds, [False] * len(seeds), [trouble_s] * len(seeds))


def broken_rules(days: Iterable[Verdict]) -> Counter[str]:
    """On how many days each rule was broken."""
    return Counter(rule for day in days for rule in {breach.rule for breach in day.breaches})
