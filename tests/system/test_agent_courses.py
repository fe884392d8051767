"""Drawn courses of an agent beside its worker."""

from __future__ import annotations

import random
import unittest
from typing import Any

from pipitledge.wire.messages import AgentOrders, AgentReport, OrderResult, StartOrder
from tests.system.agent_worker import Missed, Sent, Site

TICK = 0.0005
NEVER = Missed()


def first_calls(kind: str, count: int, missed: Missed) -> Any:
    """Leave the first `count` calls of that kind unanswered."""
    left = [count]

    def misses(sent: Sent) -> Missed | None:
        if sent.kind != kind or not left[0]:
            return None
        left[0] -= 1
        return missed

    return misses


class RandomCourse:
    """One course of troubles, and a primary that gives orders at random and holds the agent to its word."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        rate = self.random.choice((0.98, 0.99, 1.0))
        self.site = Site(seed, rate=rate, capacity=self.random.choice((3, 1000)))
        self.site.primary.on_report = self.check_report
        self.site.worker.misses = self.miss
        self.problems: list[str] = []
        self.settled: dict[tuple[str, int], str] = {}
        self.impossible: dict[tuple[str, int], str] = {}  # run that must never begin or go on, and its life
        self.missing = 0.0
        self.count = 0
        self.sent_seen = 0

    def miss(self, sent: Sent) -> Missed | None:
        if self.random.random() >= self.missing:
            return None
        return Missed(self.random.choice((None, 0.001, self.random.uniform(0.3, 5.0))))

    def run(self, seconds: float) -> None:
        self.site.start()
        while self.site.world.time < seconds:
            self.step()
            self.site.run(self.random.uniform(0.01, 0.4))
            self.check_calls()
            self.check_runs()
        self.heal()

    def step(self) -> None:
        site, draw = self.site, self.random.random()
        if draw < 0.3:
            self.order_start()
        elif draw < 0.42:
            self.order_stop()
        elif draw < 0.62 and site.worker.life.running:
            how = self.random.choice(("done", "failed"))
            site.worker.finish(self.random.choice(list(site.worker.life.running)), how)
        elif draw < 0.64:
            self.missing = self.random.choice((0.0, 0.2, 0.6))
        elif draw < 0.66:
            site.worker.dark = not site.worker.dark
        elif draw < 0.68:
            site.primary.reachable = not site.primary.reachable
        elif draw < 0.69:
            self.new_term()
        elif draw < 0.70 and site.worker.listening:
            site.worker.crash(self.random.uniform(0.1, 3.0))
        elif draw < 0.71:
            self.restart()
        elif draw < 0.72 and site.worker.life.state == "ready":
            self.end_life()
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
        running += [(run.task, run.run) for run in self.site.worker.life.running.values()]
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

    def end_life(self) -> None:
        worker, life = self.site.worker, self.site.worker.life

        def leave() -> None:
            if worker.life is life and worker.listening:
                worker.leave()
                self.site.world.after(1.0, lambda: worker.come_back() if worker.life is life else None)

        worker.drain()
        self.site.world.after(3.0, leave)

    def check_report(self, report: AgentReport) -> None:
        """A primary that drops its orders once their end is certain."""
        primary, life = self.site.primary, self.site.worker.life
        if report.lapsed_instance == life.instance and life.running:
            self.problems.append(f"{list(life.running)} run after the lapse that was told")
        for result in report.results:
            self.take_result(report, result)
        seen = {(entry.task, entry.run) for entry in [*report.running, *report.finished]}
        primary.starts = [order for order in primary.starts if (order.task, order.run) not in seen]
        ended = {(end.task, end.run) for end in report.finished}
        primary.stops = [order for order in primary.stops if (order.task, order.run) not in ended]
        if report.ended_instances:
            primary.starts.clear()
            primary.stops.clear()

    def take_result(self, report: AgentReport, result: OrderResult) -> None:
        primary, key = self.site.primary, (result.task, result.run)
        if result.order == "start":
            primary.starts = [order for order in primary.starts if (order.task, order.run) != key]
        if result.outcome == "started" or report.worker is None or report.hold_number < result.at_hold:
            return
        if result.order == "stop":
            primary.stops = [order for order in primary.stops if (order.task, order.run) != key]
        if result.at_hold and key not in {(entry.task, entry.run) for entry in report.running}:
            self.impossible[key] = report.worker.instance

    def check_runs(self) -> None:
        life = self.site.worker.life
        for run in life.running.values():
            if self.impossible.get((run.task, run.run)) == life.instance:
                self.problems.append(f"{run.task} runs though it was said never to")
            if run.task == "forbidden":
                self.problems.append("an order of an old term was carried out")

    def check_calls(self) -> None:
        worker, primary = self.site.worker, self.site.primary
        lives = {life.instance: life for life in worker.lives}
        for sent in worker.sent[self.sent_seen :]:
            life = lives[sent.instance]
            if "deadlineMs" in sent.body:
                until = worker.time_of(life, sent.body["deadlineMs"]) + self.site.machine.clock_offset
                latest = min(primary.permitted_until, sent.at + self.site.machine.clock_offset + 6.0)
                if until > latest + 0.001:
                    self.problems.append(f"{sent.kind} at {sent.at}: {until - latest} s too long")
            if sent.body.get("lastSeen", 0) > primary.delivered_acknowledged.get(sent.instance, 0):
                self.problems.append(f"lastSeen {sent.body['lastSeen']} is not acknowledged")
            drained_at = life.state_acknowledged_at
            if sent.kind == "run-start" and drained_at is not None and sent.at > drained_at + TICK:
                self.problems.append("a start was sent to a draining worker")
        self.sent_seen = len(worker.sent)

    def heal(self) -> None:
        """End all troubles; then all orders come to their end."""
        worker, primary = self.site.worker, self.site.primary
        self.missing = 0.0
        worker.unhealthy = 0
        worker.dark = False
        primary.reachable = True
        self.site.run(12.0)
        if not worker.listening:
            worker.come_back()
            self.site.run(3.0)
        self.check_calls()
        self.check_runs()
        if primary.most_under_way != 1:
            self.problems.append(f"{primary.most_under_way} reports were under way at once")
        if primary.starts or primary.stops:
            self.problems.append(f"orders without end: {primary.starts} {primary.stops}")
        running = {(run.task, run.run) for run in worker.life.running.values()}
        told = {(entry.task, entry.run) for entry in primary.last.running}
        if running != told:
            self.problems.append(f"runs {running}, told {told}")


class RandomCourses(unittest.TestCase):
    def test_the_agent_keeps_its_word_in_any_course_of_troubles(self) -> None:
        began = 0
        for seed in range(40):
            course = RandomCourse(seed)
            course.run(60.0)
            began += len(course.site.worker.began)
            self.assertEqual([], course.problems[:3], f"seed {seed}")
        self.assertGreater(began, 500)


if __name__ == "__main__":
    unittest.main()
