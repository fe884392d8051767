"""A process that sends hand-made messages to one replica."""

from __future__ import annotations

from pipitledge.wire.messages import (
    Accepted,
    HeartbeatReply,
    Prepare,
    Promise,
    Propose,
    View,
)
from tests.system.replica_cluster import Cluster
from tests.system.virtual import Process


class Probe:
    """A process that sends hand-made messages to one replica."""

    def __init__(self, cluster: Cluster, name: str = "probe") -> None:
        self.cluster = cluster
        self.machine = cluster.world.machine(name)
        self.process: Process = self.machine.start(lambda process: None)
        self.replies: list[HeartbeatReply] = []
        self.process.handlers.on_datagram(HeartbeatReply, self.replies.append)

    def ask(self, name: str, message: object) -> object:
        answers: list[object] = []
        address = self.cluster.machines[name].address
        self.process.network.call(address, message, 1.0, answers.append)  # type: ignore[arg-type]
        self.cluster.world.run_while(lambda: not answers, 2.0)
        return answers[0]

    def prepare(self, name: str, epoch: int, proposer: str = "probe") -> Promise:
        answer = self.ask(name, Prepare(epoch=epoch, proposer=proposer))
        assert isinstance(answer, Promise)
        return answer

    def propose(self, name: str, view: View) -> Accepted:
        answer = self.ask(name, Propose(view=view))
        assert isinstance(answer, Accepted)
        return answer
