"""Days of the whole cluster whose faults a test says, with the clients, operators and rules of drawn days."""

from __future__ import annotations

import json
import math
from collections.abc import Callable
from random import Random

from pipitledge.emulator.cluster import history
from pipitledge.emulator.cluster.auditor import Breach
from pipitledge.emulator.cluster.callers import Reply
from pipitledge.emulator.cluster.day import Day
from pipitledge.emulator.cluster.deployment import HOST
from pipitledge.emulator.cluster.history import Operation
from pipitledge.emulator.cluster.virtual import Machine

Script = Callable[["ScriptedDay"], None]


class ScriptedDay(Day):
    """A day without drawn faults."""

    replies: list[Reply]  # to calls of `ask_each_second`

    def begin(self) -> None:
        """Found the system, and let clients and operators begin."""
        self.replies = []
        self.operators._interval_s = 0.7
        self._found()
        self.clients.start()
        self._look()
        self.world.run_for(2.0)

    def play_script(self, script: Script) -> list[Breach]:
        """Play the script, mend everything, and judge."""
        self.begin()
        script(self)
        self.clients.stopped = self.operators.stopped = True
        self.faults.heal()
        for machine in self.world.machines.values():
            machine.thaw()
        self._recover()
        self._settle()
        return [*self.auditor.breaches, *self.history_breaches()]

    def history_breaches(self) -> list[Breach]:
        return [Breach("HISTORY", 0.0, str(finding)) for finding in history.check(self.operators.history)]

    # ---- what scripts use

    def primary(self) -> Machine:
        name = self.site.primary()
        assert name is not None, "nobody leads"
        return self.world.machines[name]

    def backup(self) -> Machine:
        primary = self.primary().name
        return self.world.machines[next(name for name in self.deployment.counted if name != primary)]

    def uncounted(self) -> Machine:
        return self.world.machines[self.deployment.edges[-1]]

    def trouble(self, name: str, seconds: float, mend: Callable[[], None]) -> None:
        """Something is wrong with a machine for so long."""
        self.faults._until(name, seconds, mend)

    def cut(
        self, machine: Machine, others: list[str], seconds: float, inward: bool = True, outward: bool = True
    ) -> None:
        """Cut a machine off from others, in one direction or both."""
        network = self.world.network
        others = [other for other in others if other != machine.name]
        for other in others:
            if inward:
                network.cut(other, machine.name, both=False)
            if outward:
                network.cut(machine.name, other, both=False)

        def mend() -> None:
            for other in others:
                network.join(other, machine.name)

        self.trouble(machine.name, seconds, mend)

    def ask_each_second(self, node: str, seconds: int) -> None:
        """Send one of each kind of call to a node, now and each second from then on."""
        job = next(iter(self.auditor.jobs), "0123456789abcdef")
        taken = next(order for order in self.operators.orders if order.acknowledged_at < math.inf)
        prefix = self.deployment.queues[0].prefix

        def ask(left: int) -> None:
            self.outside.operator(node, "GET", "", b"", self.replies.append)
            self.outside.operator(node, taken.method, str(taken.built_on), taken.body, self.replies.append)
            for method, path in (("GET", prefix + job), ("DELETE", prefix + "0" * 16), ("GET", prefix)):
                self.outside.client(node, method, HOST, path, b"", 900.0, self.replies.append)
            if left > 0:
                self.world.after(1.0, lambda: ask(left - 1))

        ask(seconds)

    def asked(self, node: str, since: float, until: float) -> list[Operation]:
        """Operators' calls to a node that were sent in that time."""
        return [one for one in self.operators.history if one.node == node and since <= one.sent_at < until]


class Operator:
    """One operator that sends orders by hand, and repeats them until the answer is clear."""

    def __init__(self, day: Day) -> None:
        self._day = day
        self._random = Random(7)
        self.replies: list[Reply] = []

    def send(self, node: str, method: str, if_match: str, body: bytes, limit: float = 1.2) -> Reply:
        """One try; its end."""
        ended: list[Reply] = []
        self._day.outside.operator(node, method, if_match, body, ended.append)
        self._day.world.run_while(lambda: not ended, limit)
        assert ended, "a call without an end"
        self.replies.append(ended[0])
        return ended[0]

    def send_until_clear(self, method: str, if_match: str, body: bytes, limit: float = 30.0) -> Reply:
        """The same order, to any node, until it is answered clearly."""
        end = self._day.world.time + limit
        while self._day.world.time < end:
            reply = self.send(self._random.choice(self._day.deployment.edges), method, if_match, body)
            if reply.status in (200, 400, 412):
                return reply
            self._day.world.run_for(0.1)
        raise AssertionError("no clear answer")

    def read(self) -> int:
        """The version in force."""
        return int(json.loads(self.send_until_clear("GET", "", b"").body)["version"])
