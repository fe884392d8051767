"""`pipitledge experiment days`: days of trouble, their verdicts, and wrong usage."""

from __future__ import annotations

import contextlib
import io
import unittest
from concurrent.futures import ThreadPoolExecutor
from typing import Any
from unittest import mock

from pipitledge.cli import experiment as cli
from pipitledge.emulator.cluster import days
from pipitledge.emulator.cluster.auditor import Breach
from pipitledge.emulator.cluster.day import Verdict, play


class DaysOfTrouble(unittest.TestCase):
    """`pipitledge experiment days`."""

    def command(self, *arguments: str) -> tuple[int, str]:
        out = io.StringIO()

        def here(seeds: Any, jobs: int, trouble_s: float) -> Any:
            with ThreadPoolExecutor(1) as executor:
                yield from days.verdicts(executor, seeds, trouble_s)

        with contextlib.redirect_stdout(out), mock.patch.object(days, "play_all", here):
            code = cli.main(["days", *arguments])
        return code, out.getvalue()

    def test_days_without_a_broken_rule(self) -> None:
        code, out = self.command("--first", "3", "--count", "2", "--trouble-s", "2")
        self.assertEqual((0, "2 days, 0 with a rule broken\n"), (code, out))

    def test_a_broken_rule_is_told_with_its_seed(self) -> None:
        broken = Verdict(
            4, (Breach("TWICE", 1.0, "a"), Breach("TWICE", 2.0, "b"), Breach("LOST", 3.0, "c")), 1, 1, 1, 1, 1.0
        )
        sound = Verdict(5, (), 1, 1, 1, 1, 1.0)
        with mock.patch.object(days, "play", lambda seed, printing, trouble_s: {4: broken, 5: sound}[seed]):
            code, out = self.command("--first", "4", "--count", "2")
        self.assertEqual(1, code)
        self.assertIn("seed 4: LOST, TWICE", out)
        self.assertIn("2 days, 1 with a rule broken: LOST on 1, TWICE on 1", out)

    def test_a_single_day_is_shown_whole(self) -> None:
        code, out = self.command("--show", "3", "--trouble-s", "2")
        self.assertEqual(0, code)
        self.assertIn("scheduler_active", out)
        self.assertIn("seed 3: no rule broken", out)

    def test_wrong_usage(self) -> None:
        for arguments in (["--count", "0"], ["--trouble-s", "0"], ["--first", "-1"], ["--jobs", "x"]):
            with self.subTest(arguments=arguments), contextlib.redirect_stderr(io.StringIO()):
                self.assertEqual(2, self.command(*arguments)[0])

    def test_several_processes_come_to_the_same_verdicts(self) -> None:
        alone = [play(seed, trouble_s=1.0) for seed in (1, 2)]
        self.assertEqual(alone, list(days.play_all([1, 2], 2, 1.0)))


if __name__ == "__main__":
    unittest.main()
