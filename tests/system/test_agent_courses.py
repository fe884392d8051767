"""Tests the agent under random faults of the worker, the network, the primary and the agent itself."""

from __future__ import annotations

import random
import unittest
from typing import Any

from pipitledge.wire.messages import AgentOrders, AgentReport, OrderResult, StartOrder
from tests.system.agent_worker import LostCall, Sent, Site

TICK = 0.0005
NEVER_EXECUTED = LostCall()


def first_calls(kind: str, count: int, loss: LostCall) -> Any:
    """Lose the first `count` calls of that kind."""
    left = [count]

    def lose_call(sent: Sent) -> LostCall | None:
        if sent.kind != kind or not left[0]:
            return None
        left[0] -= 1
        return loss

    return lose_call


class RandomFaultSchedule:
    """One random schedule of faults and orders, which checks the guarantees of the agent after each step."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        rate = self.random.choice((0.98, 0.99, 1.0))
        self.site = Site(seed, rate=rate, capacity=self.random.choice((3, 1000)))
        self.site.primary.on_report = self.check_report
        self.site.worker.lose_call = self.choose_loss
        self.problems: list[str] = []
        self.settled: dict[tuple[str, int], str] = {}
        self.ruled_out: dict[tuple[str, int], str] = {}  # run that must not run -> its worker instance
        self.loss_rate = 0.0
        self.count = 0
        self.checked_calls = 0

    def choose_loss(self, sent: Sent) -> LostCall | None:
        if self.random.random() >= self.loss_rate:
            return None
        return LostCall(self.random.choice((None, 0.001, self.random.uniform(0.3, 5.0))))

    def run(self, seconds: float) -> None:
        self.site.start()
        while self.site.world.time < seconds:
            self.step()
            self.site.run(self.random.uniform(0.01, 0.4))
            self.check_calls()
            self.check_runs()
        self.recover()

    def step(self) -> None:
        site, draw = self.site, self.random.random()
        if draw < 0.3:
            self.order_start()
        elif draw < 0.42:
            self.order_stop()
        elif draw < 0.62 and site.worker.instance_model.running:
            how = self.random.choice(("done", "failed"))
            site.worker.finish(self.random.choice(list(site.worker.instance_model.running)), how)
        elif draw < 0.64:
            self.loss_rate = self.random.choice((0.0, 0.2, 0.6))
        elif draw < 0.66:
            site.worker.unreachable = not site.worker.unreachable
        elif draw < 0.68:
            site.primary.reachable = not site.primary.reachable
        elif draw < 0.69:
            self.new_term()
        elif draw < 0.70 and site.worker.listening:
            site.worker.crash(self.random.uniform(0.1, 3.0))
        elif draw < 0.71:
            self.restart()
        elif draw < 0.72 and site.worker.instance_model.state == "ready":
            self.drain_and_leave()
        elif draw < 0.73:
            site.worker.unhealthy = self.random.randrange(6)
        elif draw < 0.75:
            self.push_old_term()

    def order_start(self) -> None:
        self.count += 1
        if self.site.primary.instance and self.site.machine.running:
            self.site.order_start(f"t{self.count}")

    def order_stop(self) -> None:
        running = [(order.task, order.run) for order in self.site.primary.starts]
        running += [(run.task, run.run) for run in self.site.worker.instance_model.running.values()]
        if running and self.site.machine.running:
            self.site.order_stop(*self.random.choice(running))

    def new_term(self) -> None:
        self.site.primary.term += 1
        self.site.primary.starts.clear()
        self.site.primary.stops.clear()

    def push_old_term(self) -> None:
        primary = self.site.primary
        old = AgentOrders(term=primary.term - 1, instance=primary.instance, starts=[StartOrder("forbidden", 1, "x")])
        agent = self.site.running_agent()
        if agent is not None and agent.status()["term"] == primary.term and self.site.push(old).accepted:
            self.problems.append("orders of an old term were accepted")

    def restart(self) -> None:
        self.site.kill()
        self.site.run(self.random.uniform(0.1, 2.0))
        self.site.start()

    def drain_and_leave(self) -> None:
        worker, instance_model = self.site.worker, self.site.worker.instance_model

        def leave() -> None:
            if worker.instance_model is instance_model and worker.listening:
                worker.leave()
                self.site.world.after(
                    1.0, lambda: worker.restart() if worker.instance_model is instance_model else None
                )

        worker.drain()
        self.site.world.after(3.0, leave)

    def check_report(self, report: AgentReport) -> None:
        """Check a report, and discard orders as the primary does once their outcome is certain."""
        primary, instance_model = self.site.primary, self.site.worker.instance_model
        if report.lapsed_instance == instance_model.instance and instance_model.running:
            self.problems.append(f"{list(instance_model.running)} run after their leases were reported as expired")
        for result in report.results:
            self.handle_result(report, result)
        seen = {(entry.task, entry.run) for entry in [*report.running, *report.finished]}
        primary.starts = [order for order in primary.starts if (order.task, order.run) not in seen]
        ended = {(end.task, end.run) for end in report.finished}
        primary.stops = [order for order in primary.stops if (order.task, order.run) not in ended]
        if report.ended_instances:
            primary.starts.clear()
            primary.stops.clear()

    def handle_result(self, report: AgentReport, result: OrderResult) -> None:
        primary, key = self.site.primary, (result.task, result.run)
        if result.order == "start":
            primary.starts = [order for order in primary.starts if (order.task, order.run) != key]
        if result.outcome == "started" or report.worker is None or report.hold_number < result.at_hold:
            return
        if result.order == "stop":
            primary.stops = [order for order in primary.stops if (order.task, order.run) != key]
        if result.at_hold and key not in {(entry.task, entry.run) for entry in report.running}:
            self.ruled_out[key] = report.worker.instance

    def check_runs(self) -> None:
        instance_model = self.site.worker.instance_model
        for run in instance_model.running.values():
            if self.ruled_out.get((run.task, run.run)) == instance_model.instance:
                self.problems.append(f"{run.task} runs though a report ruled that out")
            if run.task == "forbidden":
                self.problems.append("an order of an old term was executed")

    def check_calls(self) -> None:
        worker, primary = self.site.worker, self.site.primary
        instance_models = {instance_model.instance: instance_model for instance_model in worker.instance_models}
        for sent in worker.sent[self.checked_calls :]:
            instance_model = instance_models[sent.instance]
            if "deadlineMs" in sent.body:
                until = worker.time_of(instance_model, sent.body["deadlineMs"]) + self.site.machine.clock_offset
                latest = min(primary.granted_until, sent.at + self.site.machine.clock_offset + 6.0)
                if until > latest + 0.001:
                    self.problems.append(f"{sent.kind} at {sent.at}: {until - latest} s too late")
            if sent.body.get("lastSeen", 0) > primary.delivered_acknowledgements.get(sent.instance, 0):
                self.problems.append(f"lastSeen {sent.body['lastSeen']} is not acknowledged")
            drained_at = instance_model.draining_acknowledged_at
            if sent.kind == "run-start" and drained_at is not None and sent.at > drained_at + TICK:
                self.problems.append("a start was sent to a draining worker")
        self.checked_calls = len(worker.sent)

    def recover(self) -> None:
        """End all faults, and check that all orders are completed then."""
        worker, primary = self.site.worker, self.site.primary
        self.loss_rate = 0.0
        worker.unhealthy = 0
        worker.unreachable = False
        primary.reachable = True
        self.site.run(12.0)
        if not worker.listening:
            worker.restart()
            self.site.run(3.0)
        self.check_calls()
        self.check_runs()
        if primary.max_concurrent_reports != 1:
            self.problems.append(f"{primary.max_concurrent_reports} reports were pending at once")
        if primary.starts or primary.stops:
            self.problems.append(f"orders not completed: {primary.starts} {primary.stops}")
        running = {(run.task, run.run) for run in worker.instance_model.running.values()}
        reported = {(entry.task, entry.run) for entry in primary.last.running}
        if running != reported:
            self.problems.append(f"running {running}, reported {reported}")


class RandomFaultScheduleTest(unittest.TestCase):
    def test_the_agent_keeps_its_guarantees_under_random_faults(self) -> None:
        started_runs = 0
        for seed in range(40):
            schedule = RandomFaultSchedule(seed)
            schedule.run(60.0)
            started_runs += len(schedule.site.worker.started_runs)
            self.assertEqual([], schedule.problems[:3], f"seed {seed}")
        self.assertGreater(started_runs, 500)


if __name__ == "__main__":
    unittest.main()
