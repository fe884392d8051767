"""The longest run that a plan allows, as a timeline for people."""

from __future__ import annotations

from pipitledge.attempts.check import AT_ONCE, MAY_HAVE_RUN, Numbers
from pipitledge.conf.units import show_ms


def timeline(plan: Numbers) -> list[str]:
    """Each send as late as it can be, from the request's arrival to the answer; one line a step."""
    lines, at, last = ["attempt 1 goes out at 0ms, or once a worker has room"], 0, plan.total_ms - 1
    copies = plan.copies()
    how = next((name for name in ("timeout", *MAY_HAVE_RUN, "full", "connect-failed") if name in plan.retry_on), "")
    held = plan.total_ms if plan.hold_ms is None else plan.hold_ms
    for number in range(2, plan.attempts + 1):
        if not how or (how == "timeout" and plan.attempt_ms is None and not plan.retry_on & AT_ONCE):
            break
        ended = min(at + plan.longest_ms, last)
        if ended + plan.backoff_ms[0] > last or at == last:
            break
        sent = min(ended + plan.backoff_ms[1] + held, last)
        shown = "held for room" if plan.hold_ms is None else f"held for {show_ms(plan.hold_ms)} at most"
        lines.append(
            f"attempt {number} goes out by {show_ms(sent)}: the one before ended ({how}) by "
            f"{show_ms(ended)}, back-off {show_ms(plan.backoff_ms[0])} to {show_ms(plan.backoff_ms[1])}, "
            f"{shown}"
        )
        at = sent
    if copies is not None:
        when = "after the learned time" if plan.copy_learned else f"{show_ms(copies[0])} after its attempt"
        lines.append(f"a second copy goes out {when}, if an attempt is left and the aim can still be met")
    lines.append(f"the client has its answer by {show_ms(plan.total_ms)}")
    return lines
