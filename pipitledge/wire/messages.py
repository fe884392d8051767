"""All messages that the system's processes send each other, and all records kept in replicated state.

Each class has the same fields as the table of its name in ``schema.fbs``; ``codec`` encodes and decodes them. Times
sent between machines are durations, or timestamps that the receiver echoes to the machine that made them. No process
compares a timestamp of another machine's clock with its own clock.
"""

from __future__ import annotations

import enum

from msgspec import Struct

# ---- membership


class NodeDescriptor(Struct):
    """A process's description of itself. Gossip spreads it together with its age."""

    name: str = ""
    address: str = ""  # "ip:port" of its internal HTTP server; datagrams use the same port over UDP
    zone: str = ""
    region: str = ""
    machine_class: str = ""
    counted: bool = False  # voting node: holds replicated state and counts for the quorum (setting countsForQuorum)
    bootstrap: bool = False  # started as part of the first start of the system, and not a member yet
    incarnation: int = 0  # random number drawn at each start of the process
    started_sequence: int = 0  # number of the process's start, if a disk can store it; otherwise 0
    age_ms: int = 0  # time since the process sent this description itself


class Member(Struct):
    """A voting member: a node that holds replicated state and votes on views."""

    name: str = ""
    address: str = ""
    zone: str = ""
    region: str = ""
    disk_id: int = 0  # random number drawn when the disk is formatted; a different number means that the disk was lost


class View(Struct):
    """The primary and the in-sync set, decided by a majority of `members`; there is one view per epoch."""

    epoch: int = 0  # 0: there is no view yet
    term: int = 0  # epoch at which this primary was elected; fencing token of its orders
    primary: str = ""
    in_sync: list[str] = []  # names of the members that hold all acknowledged writes
    members: list[Member] = []
    previous: list[Member] = []  # during a membership change: the old members; majorities of both lists are needed


class Shuffle(Struct):
    """Half of an exchange of partial membership views (datagram); `reply` asks for the other half."""

    sender: NodeDescriptor
    sample: list[NodeDescriptor] = []
    view: View | None = None
    reply: bool = True


# ---- replication


class Heartbeat(Struct):
    """Primary to voting members (datagram): renews the primary's lease."""

    epoch: int = 0
    term: int = 0
    primary: str = ""
    sent_at: float = 0.0  # on the primary's monotonic clock; echoed in the reply
    committed: int = 0
    wall_ms: int = 0
    view: View | None = None


class HeartbeatReply(Struct):
    """Voting member to primary (datagram). If `epoch` is higher than in the heartbeat, the lease is not renewed."""

    epoch: int = 0  # highest promised
    name: str = ""
    disk_id: int = 0
    sent_at: float = 0.0
    term: int = 0  # of the last entry held
    sequence: int = 0  # of the last entry held durably
    wall_ms: int = 0
    amnesiac: bool = False  # the member lost its disk and has not recovered its promises yet
    leaving: bool = False  # the member is about to stop, and should leave the in-sync set


class Prepare(Struct):
    """First phase of a view change: asks a member to promise that it accepts no lower epoch."""

    epoch: int = 0
    proposer: str = ""


class Promise(Struct):
    """Answer to `Prepare`."""

    granted: bool = False
    epoch: int = 0  # highest epoch promised
    accepted: View | None = None  # accepted view with the highest epoch
    disk_id: int = 0
    name: str = ""
    reason: str = ""  # if not granted: "epoch", "lease", "amnesiac"; "leaving" if granted by a member about to stop


class Propose(Struct):
    """Second phase of a view change: asks a member to accept this view."""

    view: View


class Accepted(Struct):
    """Answer to `Propose`."""

    granted: bool = False
    epoch: int = 0
    name: str = ""


class EpochQuery(Struct):
    """A member that lost its disk asks the others for their promised epochs and accepted views."""

    name: str = ""


class EpochReply(Struct):
    """Answer to `EpochQuery`; the answer of a member that lost its own disk is not counted."""

    name: str = ""
    promised: int = 0
    accepted: View | None = None
    amnesiac: bool = False
    disk_id: int = 0


class InitialPrepare(Struct):
    """First phase of the decision on the initial members: asks a seed to promise that it accepts no lower ballot."""

    ballot: int = 0
    proposer: str = ""


class InitialPromise(Struct):
    """A seed's answer to `InitialPrepare`."""

    granted: bool = False
    address: str = ""  # the seed's internal address
    ballot: int = 0  # highest promised
    accepted: int = 0  # ballot of the accepted list; 0 if none
    members: list[Member] = []  # the accepted list
    known: list[Member] = []  # voting nodes that took part in the first start, as known to the seed


class InitialPropose(Struct):
    """Second phase of the decision on the initial members: asks a seed to accept this list."""

    ballot: int = 0
    proposer: str = ""
    members: list[Member] = []


class InitialAccepted(Struct):
    """A seed's answer to `InitialPropose`."""

    granted: bool = False
    address: str = ""  # the seed's internal address
    ballot: int = 0  # highest promised


class RecoveryQuery(Struct):
    """An operator's tool asks a voting node for its state, before a manual recovery."""

    name: str = ""  # of the node to answer; empty: any node at the address


class RecoveryState(Struct):
    """Answer to `RecoveryQuery`."""

    name: str = ""
    address: str = ""
    zone: str = ""
    region: str = ""
    disk_id: int = 0
    promised: int = 0
    accepted: View | None = None  # accepted view with the highest epoch
    decided: View | None = None  # newest view known to be decided by a quorum
    amnesiac: bool = False
    leads: bool = False
    hears_primary: bool = False  # a lease that this node granted to a primary may still be valid
    term: int = 0  # of the last entry held
    sequence: int = 0  # of the last entry held


class RecoveryOrder(Struct):
    """Manual recovery: tells a node to adopt this view, although no quorum decided it."""

    view: View


class RecoveryAnswer(Struct):
    """Answer to `RecoveryOrder`."""

    granted: bool = False
    name: str = ""
    reason: str = ""  # if not granted: why


class Forward(Struct):
    """A call that is sent through a relay, as the sender can't reach the receiver; without a message it is a probe."""

    target: str = ""  # internal address of the receiver
    origin: str = ""  # internal address of the sender
    relay: str = ""  # internal address of the relay; set by the relay when it forwards the call
    timeout_ms: int = 0  # how long the relay waits for the answer
    message: bytes = b""  # the encoded call; empty for a probe


class Forwarded(Struct):
    """Answer to `Forward`."""

    answered: bool = False  # whether the receiver was reached and answered
    message: bytes = b""  # the encoded answer
    view: View | None = None  # newest view known to the relay, if it could not reach the receiver


class Write(Struct):
    """New value of one key in replicated state, or with `deleted` the removal of the key."""

    key: str = ""
    value: bytes = b""
    deleted: bool = False


class Entry(Struct):
    """An entry of the replicated log: a batch of writes that are applied atomically."""

    term: int = 0
    sequence: int = 0
    writes: list[Write] = []


class Append(Struct):
    """Primary to backup: the log entries that follow (previous_term, previous_sequence)."""

    epoch: int = 0
    term: int = 0
    primary: str = ""
    previous_term: int = 0
    previous_sequence: int = 0
    entries: list[Entry] = []
    committed: int = 0


class AppendReply(Struct):
    """Answer to `Append`, sent after the entries have been written durably."""

    accepted: bool = False
    epoch: int = 0  # highest promised
    name: str = ""
    disk_id: int = 0
    term: int = 0  # of the last entry held
    sequence: int = 0  # of the last entry held durably
    diverged: bool = False  # the backup's state doesn't match the primary's: a repair by digests is needed


class RangeDigest(Struct):
    """Digest of all keys in one of the ranges into which the keys are divided by their hashes."""

    range: int = 0
    digest: int = 0
    keys: int = 0


class RepairRequest(Struct):
    """Backup to primary: digests of the backup's state, to find the ranges that differ."""

    name: str = ""
    disk_id: int = 0
    epoch: int = 0
    digests: list[RangeDigest] = []


class RangeContent(Struct):
    """All keys and values of one range."""

    range: int = 0
    writes: list[Write] = []


class RepairReply(Struct):
    """Primary to backup: content of the ranges that differ, as of (term, sequence); `complete` if none is left out."""

    granted: bool = False
    epoch: int = 0
    term: int = 0
    sequence: int = 0
    contents: list[RangeContent] = []
    complete: bool = False
    view: View | None = None


class NotPrimary(Struct):
    """Answer to a call for the primary, by a node that is not the primary or can't be sure that it still is."""

    view: View | None = None


# ---- ingress and operators


class CallKind(enum.IntEnum):
    """Kind of a client's call to a queue."""

    SUBMIT = 0
    STATE = 1
    CANCEL = 2
    COUNT = 3


class ClientCall(Struct):
    """A client's call, forwarded to the primary by the node that received it."""

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
    """An operator's call, forwarded to the primary by the node that received it."""

    method: str = ""
    if_match: str = ""
    body: bytes = b""


class OperatorReply(Struct):
    """The primary's answer to an operator's call."""

    status: int = 0
    body: bytes = b""


class DatasetVersion(Struct):
    """One component of a version vector: the version that a node holds of one origin's data."""

    origin: str = ""
    version: int = 0


class PartialTransfer(Struct):
    """The part of an incomplete transfer that a data plane node has received."""

    origin: str = ""
    base: int = 0  # version that the transfer is a delta to; 0: it is a full copy
    version: int = 0
    digest: int = 0  # of all bytes of the transfer
    offset: int = 0  # number of bytes received


class PullRequest(Struct):
    """A data plane node asks for datasets that are newer than those it holds."""

    node: str = ""
    vector: list[DatasetVersion] = []
    partial: PartialTransfer | None = None
    takes_pieces: bool = False  # False for nodes of earlier versions, which accept only the whole configuration


class Update(Struct):
    """A dataset at one version, or if `total` is not 0, one piece of its compressed transfer."""

    origin: str = ""
    version: int = 0
    payload: bytes = b""
    base: int = 0  # version that the transfer is a delta to; 0: it is a full copy
    digest: int = 0  # of all bytes of the transfer
    offset: int = 0  # of this piece in the transfer
    total: int = 0  # bytes of the transfer; 0: the payload is the whole dataset, uncompressed


class PullReply(Struct):
    """Answer to `PullRequest`: all datasets that are newer than the requested vector."""

    term: int = 0
    updates: list[Update] = []
    view: View | None = None


# ---- agents


class WorkerInfo(Struct):
    """State of a worker, as reported by its last heartbeat."""

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
    remaining_ms: int = -1  # while draining: shortest time until the worker leaves; -1: unknown
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
    how: str = ""  # done, failed, stopped, lapsed (lease expired), broken (gang member ended), alone (gang incomplete)
    saved: str = ""


class OrderResult(Struct):
    """Outcome of an order to a worker that the lists of running and finished tasks don't show."""

    task: str = ""
    run: int = 0
    order: str = ""  # "start" or "stop"
    # started, stopped, old (a run of this or a higher number is known), room (too few free resources), invalid,
    # unhealthy, draining, gone (the worker instance is no longer current)
    outcome: str = ""
    at_hold: int = 0  # number of the first hold call sent after the worker's answer to the order


class AgentReport(Struct):
    """Agent to primary: the complete state of the worker, so that no earlier report is needed."""

    node: str = ""
    address: str = ""
    zone: str = ""
    incarnation: int = 0
    number: int = 0  # increases with each report of this incarnation of the agent
    term: int = 0  # highest term known to the agent, which refuses orders of lower terms
    sent_at: float = 0.0  # on the agent's monotonic clock; echoed in the answer
    worker: WorkerInfo | None = None
    ended_instances: list[str] = []  # worker instances that are confirmed dead
    hold_number: int = 0  # of the hold call that returned the lists; 0: none answered yet by this worker instance
    hold_fence: int = 0  # fencing token under which that call was answered
    hold_age_ms: int = -1  # time since that call was sent; -1: none was
    silent_ms: int = 0  # how long the worker has not answered calls; 0: it answers
    running: list[RunningTask] = []
    finished: list[FinishedTask] = []
    results: list[OrderResult] = []
    lapsed_instance: str = ""  # unresponsive worker instance with all task leases expired, so nothing runs on it


class StartOrder(Struct):
    """Order to start one run of a task."""

    task: str = ""
    run: int = 0
    spec: str = ""
    saved: str = ""


class StopOrder(Struct):
    """Order to stop one run of a task, or to prevent its start."""

    task: str = ""
    run: int = 0


class AgentOrders(Struct):
    """Primary to agent: answer to a report, or a push without one; repeated until a report shows the effect."""

    term: int = 0
    primary: str = ""
    address: str = ""  # the primary's internal address
    sent_at: float = 0.0  # echoed from the report; 0 if sent without one
    report_number: int = 0  # of the report that this message answers
    grant_ms: int = 0  # task leases may be extended up to sent_at + grant_ms on the agent's clock
    instance: str = ""  # worker instance that the orders are for
    acknowledged: int = 0  # finished tasks of that instance up to this number are in replicated state
    starts: list[StartOrder] = []
    stops: list[StopOrder] = []
    view: View | None = None
    poll_interval_ms: int = 0  # minimum interval of polls for finished tasks, as each has a cost; 0: agent decides


class OrdersReply(Struct):
    """Agent's answer to `AgentOrders` that the primary sent without a report."""

    accepted: bool = False
    term: int = 0


# ---- status, for operators' tools


class StatusRequest(Struct):
    """Asks a process for its status; `what` names a section, or is empty for all sections."""

    what: str = ""


class StatusReply(Struct):
    """Answer to `StatusRequest`: a JSON object with one entry per section."""

    body: bytes = b""


# ---- records in replicated state


class ConfigurationRecord(Struct):
    """The current configuration; `body` is the merged JSON of the operators' changes."""

    version: int = 0
    body: bytes = b""


class ChangeRecord(Struct):
    """An accepted configuration change, kept so that a repeated request for it is acknowledged again."""

    version: int = 0
    digest: str = ""
    order: int = 0


class JobState(enum.IntEnum):
    """Stored state of a job. `OPEN` covers pending and running jobs, which are distinguished when a client asks."""

    OPEN = 0
    COMPLETED = 1
    FAILED = 2
    CANCELLED = 3


class JobRecord(Struct):
    """An accepted job, as stored in replicated state."""

    id: str = ""
    route: str = ""
    service: str = ""
    body: bytes = b""  # as the client sent it
    state: int = 0
    accepted_wall_ms: int = 0
    order: int = 0  # increases in the order of acceptance
    priority: int = 0  # of its route at acceptance; stored as the route may be removed later
    max_attempts: int = 0
    stretch: float = 0.0
    target_latency_ms: int = 0


class TaskPhase(enum.IntEnum):
    """Stored phase of a task."""

    WAITING = 0
    ASSIGNED = 1  # a run has been ordered, and its outcome is not known yet
    DONE = 2
    FAILED = 3


class TaskRecord(Struct):
    """A task that has been started at least once, as stored in replicated state."""

    phase: int = 0
    run: int = 0  # number of the last run
    node: str = ""  # name of the agent beside the worker of that run
    instance: str = ""  # worker instance of that run
    failures: int = 0
    saved: str = ""
    stopping: bool = False
