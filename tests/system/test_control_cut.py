"""A control machine is cut off or frozen for twenty seconds: it gives no stale, refusing or confirming answer."""

from __future__ import annotations

import unittest

from pipitledge.emulator.cluster.history import Outcome
from tests.system.scripted_day import ScriptedDay

CUT_SECONDS = 20.0
LEASE_EXPIRED_AFTER_SECONDS = 1.5
SEED = 4
DEFINITE_STATUSES = (200, 400, 404, 410, 412)  # statuses that give the caller a definite answer


class IsolatedControlMachineTest(unittest.TestCase):
    def check(self, day: ScriptedDay, victim: str, since: float) -> None:
        """Check that the machine gave no definite answer while other nodes accepted calls."""
        until = since + CUT_SECONDS
        elsewhere = [call for call in day.operators.history if since < call.sent_at < until and call.node != victim]
        acknowledged = [call for call in elsewhere if call.outcome is Outcome.ACKNOWLEDGED]
        self.assertGreater(len(acknowledged), 3, "no other node accepted a call meanwhile, so the test proves nothing")
        asked = day.asked(victim, since + LEASE_EXPIRED_AFTER_SECONDS, until - 1.0)
        self.assertEqual([], [call for call in asked if call.outcome is not Outcome.UNCLEAR])
        replies = [
            reply for reply in day.replies if since + LEASE_EXPIRED_AFTER_SECONDS <= reply.call.sent_at < until - 1.0
        ]
        self.assertGreater(len(replies), 60, "the machine was not asked")
        definite = [reply for reply in replies if reply.status in DEFINITE_STATUSES]
        self.assertEqual([], definite)

    def play(self, whom: str, how: str) -> None:
        day = ScriptedDay(SEED)
        isolated: list[tuple[str, float]] = []

        def script(day: ScriptedDay) -> None:
            machine = {"primary": day.primary, "backup": day.backup, "uncounted": day.uncounted}[whom]()
            isolated.append((machine.name, day.world.time))
            day.ask_each_second(machine.name, int(CUT_SECONDS))
            everyone, counted = list(day.world.machines), list(day.deployment.counted)
            if how == "all links cut":
                day.cut(machine, everyone, CUT_SECONDS)
            elif how == "nothing comes in":
                day.cut(machine, everyone, CUT_SECONDS, outward=False)
            elif how == "nothing goes out":
                day.cut(machine, everyone, CUT_SECONDS, inward=False)
            elif how == "members only":
                day.cut(machine, counted, CUT_SECONDS)
            elif how == "frozen":
                machine.freeze()
                day.trouble(machine.name, CUT_SECONDS, machine.thaw)
            elif how == "restarted while cut off":
                day.cut(machine, everyone, CUT_SECONDS)
                day.world.run_for(8.0)
                machine.kill()
                day.site.restart(machine.name)
            day.world.run_for(isolated[0][1] + CUT_SECONDS - day.world.time)
            if how == "members only":
                return  # other nodes still reach it, so it learns of the new primary and forwards calls to it
            self.check(day, *isolated[0])

        self.assertEqual([], day.play_script(script))

    def test_the_primary(self) -> None:
        for how in (
            "all links cut",
            "nothing comes in",
            "nothing goes out",
            "members only",
            "frozen",
            "restarted while cut off",
        ):
            with self.subTest(how=how):
                self.play("primary", how)

    def test_a_backup(self) -> None:
        for how in ("all links cut", "nothing comes in", "members only", "restarted while cut off"):
            with self.subTest(how=how):
                self.play("backup", how)

    def test_a_node_without_state(self) -> None:
        for how in ("all links cut", "frozen"):
            with self.subTest(how=how):
                self.play("uncounted", how)

    def test_the_cut_ends_during_a_change(self) -> None:
        for delay in (0.0, 0.005, 0.02, 0.2):
            with self.subTest(delay=delay):
                day = ScriptedDay(SEED)

                def script(day: ScriptedDay, delay: float = delay) -> None:
                    day.cut(day.primary(), list(day.world.machines), 6.0)
                    day.world.run_for(6.0 - delay)
                    day.operators.change_now()
                    day.world.run_for(3.0)

                self.assertEqual([], day.play_script(script))


if __name__ == "__main__":
    unittest.main()
