"""Every message that the system's own processes send each other, and every record kept in replicated state.

Each class is one table of ``schema.fbs``, field for field; ``codec`` encodes and decodes them. Times that
cross machines are durations or echoes of the sender's own clock, never points of another machine's clock.
"""

from __future__ import annotations

import enum

from msgspec import Struct

# ---- membership


class NodeDescriptor(Struct):
    """One process of the system, as it describes itself; gossip passes it on with its age."""

    name: str = ""
    address: str = ""  # "ip:port" of its internal HTTP server; datagrams go to the same port over UDP
    zone: str = ""
    region: str = ""
    machine_class: str = ""
    counted: bool = False  # holds replicated state and votes (countsForQuorum)
    bootstrap: bool = False  # first start of the whole system
    incarnation: int = 0  # drawn anew at each start of the process
    started_sequence: int = 0  # rises with each start, where a disk can keep it
    age_ms: int = 0  # since the node itself spoke


class Member(Struct):
    """One counted node that votes on views."""

    name: str = ""
    address: str = ""
    zone: str = ""
    region: str = ""
    disk_id: int = 0  # drawn when the disk was formatted; another number means that the disk was lost


class View(Struct):
    """Who leads and who holds everything: decided by a majority of `members`, one view an epoch."""

    epoch: int = 0  # 0: no view yet
    term: int = 0  # epoch at which this primary took over; the fence token of its orders
    primary: str = ""
    in_sync: list[str] = []  # names; each holds all that was acknowledged
    members: list[Member] = []
    previous: list[Member] = []  # while members change: those before; a majority of both lists decides


class Shuffle(Struct):
    """Half of an exchange of partial views (datagram); `reply` asks for the other half."""

    sender: NodeDescriptor
    sample: list[NodeDescriptor] = []
    view: View | None = None
    reply: bool = True


# ---- replication


class Heartbeat(Struct):
    """Primary to members (datagram): keeps the lease."""

    epoch: int = 0
    term: int = 0
    primary: str = ""
    sent_at: float = 0.0  # the primary's steady clock, echoed
    committed: int = 0
    wall_ms: int = 0
    view: View | None = None


class HeartbeatReply(Struct):
    """Member to primary (datagram). `epoch` is the highest promised; a higher one than sent refuses the lease."""

    epoch: int = 0
    name: str = ""
    disk_id: int = 0
    sent_at: float = 0.0
    term: int = 0  # of the last entry held
    sequence: int = 0  # of the last entry held durably
    wall_ms: int = 0
    amnesiac: bool = False  # lost its disk and has not recovered its promises
    leaving: bool = False  # is about to stop, and should not be relied on


class Prepare(Struct):
    """First phase of a change of view: promise to take no lower epoch."""

    epoch: int = 0
    proposer: str = ""


class Promise(Struct):
    """Answer to `Prepare`."""

    granted: bool = False
    epoch: int = 0  # highest promised
    accepted: View | None = None  # highest accepted
    disk_id: int = 0
    name: str = ""
    reason: str = ""  # why it is not granted: "epoch", "lease", "amnesiac"


class Propose(Struct):
    """Second phase of a change of view: accept this view."""

    view: View


class Accepted(Struct):
    """Answer to `Propose`."""

    granted: bool = False
    epoch: int = 0
    name: str = ""


class EpochQuery(Struct):
    """A member that lost its disk asks the others for what they promised and accepted."""

    name: str = ""


class EpochReply(Struct):
    """Answer to `EpochQuery`; an amnesiac member's answer does not count."""

    name: str = ""
    promised: int = 0
    accepted: View | None = None
    amnesiac: bool = False
    disk_id: int = 0


class InitialPrepare(Struct):
    """First phase of the decision on the first members: a seed promises to take no lower ballot."""

    ballot: int = 0
    proposer: str = ""


class InitialPromise(Struct):
    """A seed's answer to `InitialPrepare`."""

    granted: bool = False
    address: str = ""  # the seed's internal address
    ballot: int = 0  # highest promised
    accepted: int = 0  # ballot of the list accepted; 0 if none
    members: list[Member] = []  # that list
    known: list[Member] = []  # counted nodes that started with the system, so far as the seed knows


class InitialPropose(Struct):
    """Second phase: accept these as the first members."""

    ballot: int = 0
    proposer: str = ""
    members: list[Member] = []


class InitialAccepted(Struct):
    """A seed's answer to `InitialPropose`."""

    granted: bool = False
    address: str = ""  # the seed's internal address
    ballot: int = 0  # highest promised


class RecoveryQuery(Struct):
    """An operator's tool asks a counted node what it knows, before a recovery by hand."""

    name: str = ""  # of the node meant; empty: whoever is at the address


class RecoveryState(Struct):
    """Answer to `RecoveryQuery`."""

    name: str = ""
    address: str = ""
    zone: str = ""
    region: str = ""
    disk_id: int = 0
    promised: int = 0
    accepted: View | None = None  # of the highest epoch accepted
    decided: View | None = None  # the newest known to be decided
    amnesiac: bool = False
    leads: bool = False
    hears_primary: bool = False  # or did so within the last lease
    term: int = 0  # of the last entry held
    sequence: int = 0  # of the last entry held


class RecoveryOrder(Struct):
    """Recovery by hand: take this view, which no quorum decided."""

    view: View


class RecoveryAnswer(Struct):
    """Answer to `RecoveryOrder`."""

    granted: bool = False
    name: str = ""
    reason: str = ""  # why it is not granted


class Forward(Struct):
    """A call that goes by way of a relay, as its sender can't reach its receiver; without a message it is a probe."""

    target: str = ""  # internal address of the receiver
    origin: str = ""  # internal address of the sender
    relay: str = ""  # internal address of the relay, once that has passed it on
    timeout_ms: int = 0  # how long the relay may wait for the answer
    message: bytes = b""  # encoded


class Forwarded(Struct):
    """Answer to `Forward`."""

    answered: bool = False  # whether the receiver was reached and gave an answer
    message: bytes = b""  # that answer, encoded
    view: View | None = None  # the newest that a relay knows which did not reach the receiver


class Write(Struct):
    """One key's new value in replicated state; `deleted` removes the key."""

    key: str = ""
    value: bytes = b""
    deleted: bool = False


class Entry(Struct):
    """An atomic batch of writes."""

    term: int = 0
    sequence: int = 0
    writes: list[Write] = []


class Append(Struct):
    """Primary to backup: entries that follow (previous_term, previous_sequence)."""

    epoch: int = 0
    term: int = 0
    primary: str = ""
    previous_term: int = 0
    previous_sequence: int = 0
    entries: list[Entry] = []
    committed: int = 0


class AppendReply(Struct):
    """Answer to `Append`, sent once the entries are durable."""

    accepted: bool = False
    epoch: int = 0  # highest promised
    name: str = ""
    disk_id: int = 0
    term: int = 0  # of the last entry held
    sequence: int = 0  # of the last entry held durably
    diverged: bool = False  # state does not match: repair by digests is needed


class RangeDigest(Struct):
    """Digest of all keys whose hash falls into one of the ranges that the key space is cut into."""

    range: int = 0
    digest: int = 0
    keys: int = 0


class RepairRequest(Struct):
    """Backup to primary: digests of what the backup holds."""

    name: str = ""
    disk_id: int = 0
    epoch: int = 0
    digests: list[RangeDigest] = []


class RangeContent(Struct):
    """All keys of one range."""

    range: int = 0
    writes: list[Write] = []


class RepairReply(Struct):
    """Primary to backup: the ranges that differ, as of (term, sequence); `complete` when all of them are here."""

    granted: bool = False
    epoch: int = 0
    term: int = 0
    sequence: int = 0
    contents: list[RangeContent] = []
    complete: bool = False
    view: View | None = None


class NotPrimary(Struct):
    """Answer to a call that only the primary takes, from a node that is not it (or not sure of it)."""

    view: View | None = None


# ---- ingress and operators


class CallKind(enum.IntEnum):
    """What a client asks of a queue."""

    SUBMIT = 0
    STATE = 1
    CANCEL = 2
    COUNT = 3


class ClientCall(Struct):
    """A client's call, handed from the node that took it to the primary."""

    kind: int = 0
    host: str = ""
    path: str = ""
    body: bytes = b""
    patience_ms: int = 0
    node: str = ""


class ClientReply(Struct):
    """The primary's answer to a client's call."""

    status: int = 0
    body: bytes = b""
    retry_after_ms: int = 0


class OperatorCall(Struct):
    """An operator's call, handed on to the primary."""

    method: str = ""
    if_match: str = ""
    body: bytes = b""


class OperatorReply(Struct):
    """The primary's answer to an operator's call."""

    status: int = 0
    body: bytes = b""


class DatasetVersion(Struct):
    """One component of a version vector: how much of one origin's data a node holds."""

    origin: str = ""
    version: int = 0


class PartialTransfer(Struct):
    """What a data plane node holds of a transfer that is not complete."""

    origin: str = ""
    base: int = 0  # the version that the transfer changes; 0: it is whole
    version: int = 0
    digest: int = 0  # of the transfer's bytes
    offset: int = 0  # bytes held


class PullRequest(Struct):
    """A data plane node asks for what it is missing."""

    node: str = ""
    vector: list[DatasetVersion] = []
    partial: PartialTransfer | None = None
    takes_pieces: bool = False  # nodes of earlier versions know the configuration as it is alone


class Update(Struct):
    """A dataset at one version as it is, or, with a `total`, a piece of its packed transfer."""

    origin: str = ""
    version: int = 0
    payload: bytes = b""
    base: int = 0  # the version that the transfer changes; 0: it is whole
    digest: int = 0  # of the transfer's bytes
    offset: int = 0  # of this piece
    total: int = 0  # bytes of the transfer; 0: the payload is the dataset as it is


class PullReply(Struct):
    """Everything newer than the vector that was sent."""

    term: int = 0
    updates: list[Update] = []
    view: View | None = None


# ---- agents


class WorkerInfo(Struct):
    """A worker's account of itself, as its last heartbeat told."""

    instance: str = ""
    service: str = ""
    address: str = ""
    zone: str = ""
    version: str = ""
    slots: int = 0
    state: str = ""  # "ready" or "draining"
    cold_remaining_ms: int = 0
    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0
    labels: list[str] = []
    remaining_ms: int = -1  # while draining: least time until it leaves; -1: not told
    sequence: int = 0
    heartbeat_age_ms: int = 0


class RunningTask(Struct):
    """One entry of a worker's `running` list."""

    task: str = ""
    run: int = 0
    saved: str = ""
    percent: float = 0.0


class FinishedTask(Struct):
    """One entry of a worker's `finished` list."""

    number: int = 0
    task: str = ""
    run: int = 0
    how: str = ""  # done, failed, stopped, lapsed, broken, alone
    saved: str = ""


class OrderResult(Struct):
    """How an order to a worker ended, where the lists do not tell."""

    task: str = ""
    run: int = 0
    order: str = ""  # "start" or "stop"
    outcome: str = ""  # started, stopped, old, room, invalid, unhealthy, draining, gone
    at_hold: int = 0  # number of the first hold call sent after the answer


class AgentReport(Struct):
    """Agent to primary: all that is known of the worker. Repeated whole, so any one of them suffices."""

    node: str = ""
    address: str = ""
    zone: str = ""
    incarnation: int = 0
    number: int = 0  # rises with each report of this incarnation
    term: int = 0  # highest term that the agent obeys
    sent_at: float = 0.0  # agent's steady clock, echoed
    worker: WorkerInfo | None = None
    ended_instances: list[str] = []  # lives of the worker known to be over
    hold_number: int = 0  # of the hold call whose lists these are; 0: none answered yet for this life
    hold_fence: int = 0  # fence under which it was answered
    hold_age_ms: int = -1  # since it was sent; -1: never
    silent_ms: int = 0  # how long the worker has left calls unanswered
    running: list[RunningTask] = []
    finished: list[FinishedTask] = []
    results: list[OrderResult] = []
    lapsed_instance: str = ""  # a silent life of the worker whose holds have all run out: nothing runs there


class StartOrder(Struct):
    """Start one run of a task."""

    task: str = ""
    run: int = 0
    spec: str = ""
    saved: str = ""


class StopOrder(Struct):
    """Stop one run of a task, or make sure it never starts."""

    task: str = ""
    run: int = 0


class AgentOrders(Struct):
    """Primary to agent: answer to a report, or sent by itself. Each is repeated until a report shows its effect."""

    term: int = 0
    primary: str = ""
    address: str = ""  # the primary's internal address
    sent_at: float = 0.0  # echo of the report; 0 where sent without one
    report_number: int = 0  # of the report that this answers
    grant_ms: int = 0  # tasks may be held until sent_at + grant_ms on the agent's clock
    instance: str = ""  # the worker's life that the orders are for
    acknowledged: int = 0  # ends of that life up to this number are in replicated state
    starts: list[StartOrder] = []
    stops: list[StopOrder] = []
    view: View | None = None
    poll_interval_ms: int = 0  # least time between two looks at what ended; looks have a price; 0: the agent's choice


class OrdersReply(Struct):
    """Agent's answer to pushed orders."""

    accepted: bool = False
    term: int = 0


# ---- status, for operators' tools


class StatusRequest(Struct):
    """Ask a process for its own view of things; `what` names a section or is empty for all."""

    what: str = ""


class StatusReply(Struct):
    """JSON text."""

    body: bytes = b""


# ---- records in replicated state


class ConfigurationRecord(Struct):
    """The configuration in force; `body` is the operators' JSON, merged."""

    version: int = 0
    body: bytes = b""


class ChangeRecord(Struct):
    """One change that was taken, so that it can be acknowledged again."""

    version: int = 0
    digest: str = ""
    order: int = 0


class JobState(enum.IntEnum):
    """Where a job stands; `PENDING` and `RUNNING` are told apart when asked."""

    OPEN = 0
    COMPLETED = 1
    FAILED = 2
    CANCELLED = 3


class JobRecord(Struct):
    """An accepted job."""

    id: str = ""
    route: str = ""
    service: str = ""
    body: bytes = b""  # as the client sent it
    state: int = 0
    accepted_wall_ms: int = 0
    order: int = 0  # rises in the order of acceptance
    priority: int = 0  # of its route, as it was when the job was accepted: the route may be removed since
    max_attempts: int = 0
    stretch: float = 0.0
    target_latency_ms: int = 0


class TaskPhase(enum.IntEnum):
    """Where a task stands."""

    WAITING = 0
    ASSIGNED = 1  # a run was ordered and its end is not known
    DONE = 2
    FAILED = 3


class TaskRecord(Struct):
    """One task that has been started at least once."""

    phase: int = 0
    run: int = 0  # number of its last run
    node: str = ""  # agent of the worker of that run
    instance: str = ""  # life of that worker
    failures: int = 0
    saved: str = ""
    stopping: bool = False
