"""Spans of time and sizes that the members of a view agree on."""

HEARTBEAT_SECONDS = 0.15
LEASE_SECONDS = 0.9  # counted by the primary from the sending of a heartbeat
LEASE_HELD_SECONDS = LEASE_SECONDS * 0.98  # what the primary makes use of
LEASE_PROMISED_SECONDS = LEASE_SECONDS * 1.05  # what a member keeps to, from the receipt of a heartbeat

PROPOSAL_SECONDS = 0.6  # a proposal that is not decided by then is given up
PROMISE_GRACE_SECONDS = 0.06  # wait for more promises than a quorum, to see who is alive
FOUNDING_GRACE_SECONDS = 0.3
AMNESIA_SECONDS = 2 * PROPOSAL_SECONDS  # by then all proposals that a lost disk took part in are over
AMNESIA_RETRY_SECONDS = 0.3

ELECTION_MARGIN_SECONDS = 0.05
SUCCESSION_STEP_SECONDS = 0.15  # each further successor waits that much longer
RETRY_SECONDS = 0.15  # shortest wait before another proposal
RETRY_LIMIT_SECONDS = 1.2
UNHEARD_SECONDS = 2.0  # a node that may not lead, and hears no primary for that long, asks the others for views
INQUIRY_SECONDS = 1.0  # between two rounds of these questions
ABDICATION_SECONDS = 3.0  # a primary that stepped aside for its disk does not propose itself that long

DOUBT_SECONDS = 0.3  # a backup whose heartbeats are not answered that long is asked over TCP
SILENT_SECONDS = 0.7  # a backup that says nothing that long leaves the in-sync set
REFUSED_SECONDS = 0.2  # the same, where its machine refuses connections
UNREACHABLE_SECONDS = 2.0  # a member that is silent that long may be replaced
DISK_STALL_SECONDS = 1.2  # a primary whose disk hangs that long steps aside
LEASE_LOST_SECONDS = 3.0  # a primary without its lease for that long gives up the role
RELEASE_WAIT_SECONDS = 0.2  # a planned stop waits that long for writes under way
RECONCILE_RETRY_SECONDS = 0.3  # between two changes of view by the same primary

APPEND_SECONDS = 1.5  # timeout of a call
REPAIR_SECONDS = 3.0  # timeout of a call
REPAIR_RETRY_SECONDS = 0.2
PROBE_SECONDS = 0.3  # between two empty appends to a backup that has to be repaired

FOUNDING_SECONDS = 1.5  # least wait before the system is founded
FOUNDING_QUIET_SECONDS = 0.7  # least span without news of another node
FOUNDING_TURN_SECONDS = 6.0  # the next node founds when the one before it did not
FOUNDING_LIMIT_SECONDS = 20.0  # from then on fewer nodes than the tolerance calls for may found
FOUNDING_TICK_SECONDS = 0.1

APPEND_BYTES = 1 << 20  # bound of one call
REPAIR_BYTES = 1 << 20  # bound of one call
LOG_BYTES = 8 << 20  # recent entries kept in memory
JOINING_LAG = 200  # entries: a backup that is less behind is waited for, so that it can join
VIEW_IN_FIRST_HEARTBEATS = 5  # heartbeats after a change of view that carry it; later every tenth does
VIEW_IN_EVERY_HEARTBEAT = 10
