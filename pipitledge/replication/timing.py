"""Spans of time and sizes that the members of a view agree on."""

HEARTBEAT_INTERVAL_SECONDS = 0.15
LEASE_SECONDS = 0.9  # counted by the primary from the sending of a heartbeat
PRIMARY_LEASE_SECONDS = LEASE_SECONDS * 0.98  # what the primary makes use of
MEMBER_LEASE_SECONDS = LEASE_SECONDS * 1.05  # what a member keeps to, from the receipt of a heartbeat

PROPOSAL_TIMEOUT_SECONDS = 0.6  # a proposal that is not decided by then is given up
PROMISE_GRACE_SECONDS = 0.06  # wait for more promises than a quorum, to see who is alive
BOOTSTRAP_PROMISE_GRACE_SECONDS = 0.3
AMNESIA_WAIT_SECONDS = 2 * PROPOSAL_TIMEOUT_SECONDS  # by then all proposals that a lost disk took part in are over
AMNESIA_RETRY_SECONDS = 0.3

ELECTION_MARGIN_SECONDS = 0.05
SUCCESSOR_DELAY_SECONDS = 0.15  # each further successor waits that much longer
ELECTION_BACKOFF_SECONDS = 0.15  # shortest wait before another proposal
ELECTION_BACKOFF_LIMIT_SECONDS = 1.2
VIEW_QUERY_AFTER_SECONDS = 2.0  # a node that may not lead, and hears no primary for that long, asks the others for views
VIEW_QUERY_INTERVAL_SECONDS = 1.0  # between two rounds of these questions
STEP_DOWN_COOLDOWN_SECONDS = 3.0  # a primary that stepped aside for its disk does not propose itself that long

TCP_CHECK_AFTER_SECONDS = 0.3  # a backup whose heartbeats are not answered that long is asked over TCP
BACKUP_TIMEOUT_SECONDS = 0.7  # a backup that says nothing that long leaves the in-sync set
REFUSED_BACKUP_TIMEOUT_SECONDS = 0.2  # the same, where its machine refuses connections
UNREACHABLE_SECONDS = 2.0  # a member that is silent that long may be replaced
DISK_STALL_SECONDS = 1.2  # a primary whose disk hangs that long steps aside
LEASE_LOST_TIMEOUT_SECONDS = 3.0  # a primary without its lease for that long gives up the role
RELEASE_WAIT_SECONDS = 0.2  # a planned stop waits that long for writes under way
VIEW_CHANGE_RETRY_SECONDS = 0.3  # between two changes of view by the same primary

APPEND_TIMEOUT_SECONDS = 1.5  # timeout of a call
REPAIR_TIMEOUT_SECONDS = 3.0  # timeout of a call
REPAIR_RETRY_SECONDS = 0.2
PROBE_INTERVAL_SECONDS = 0.3  # between two empty appends to a backup that has to be repaired

BOOTSTRAP_MIN_WAIT_SECONDS = 1.5  # least wait before the system is founded
BOOTSTRAP_QUIET_SECONDS = 0.7  # least span without news of another node
BOOTSTRAP_TURN_SECONDS = 6.0  # the next node founds when the one before it did not
BOOTSTRAP_REDUCED_SIZE_AFTER_SECONDS = 20.0  # from then on fewer nodes than the tolerance calls for may found
BOOTSTRAP_POLL_SECONDS = 0.1

MAX_APPEND_BYTES = 1 << 20  # bound of one call
MAX_REPAIR_BYTES = 1 << 20  # bound of one call
RECENT_LOG_BYTES = 8 << 20  # recent entries kept in memory
MAX_JOINING_LAG_ENTRIES = 200  # entries: a backup that is less behind is waited for, so that it can join
HEARTBEATS_WITH_NEW_VIEW = 5  # heartbeats after a change of view that carry it; later every tenth does
HEARTBEATS_PER_VIEW = 10
