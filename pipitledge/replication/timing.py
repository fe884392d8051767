"""Intervals, timeouts and size limits of replication; all members have to use the same values."""

HEARTBEAT_INTERVAL_SECONDS = 0.15
LEASE_SECONDS = 0.9  # from the sending of a heartbeat
PRIMARY_LEASE_SECONDS = LEASE_SECONDS * 0.98  # validity at the primary; shorter as a margin for clock drift
MEMBER_LEASE_SECONDS = LEASE_SECONDS * 1.05  # obligation of a member from the receipt of a heartbeat; longer for drift

PROPOSAL_TIMEOUT_SECONDS = 0.6  # a proposal that is not decided by then is abandoned
PROMISE_GRACE_SECONDS = 0.06  # after a quorum has promised: wait for further promises, to see which members are alive
BOOTSTRAP_PROMISE_GRACE_SECONDS = 0.3  # the same for the first view
AMNESIA_WAIT_SECONDS = 2 * PROPOSAL_TIMEOUT_SECONDS  # by then every proposal that involved a lost disk has ended
AMNESIA_RETRY_SECONDS = 0.3  # added to the proposal timeout between two rounds of queries after a disk loss

ELECTION_MARGIN_SECONDS = 0.05  # between the end of the primary's lease and the first proposal of a successor
SUCCESSOR_DELAY_SECONDS = 0.15  # each further successor waits this much longer than the one before it
ELECTION_BACKOFF_SECONDS = 0.15  # shortest wait after a failed proposal
ELECTION_BACKOFF_LIMIT_SECONDS = 1.2  # longest wait after failed proposals
VIEW_QUERY_AFTER_SECONDS = 2.0  # time without a primary, after which a node that may not lead queries the others
VIEW_QUERY_INTERVAL_SECONDS = 1.0  # between two rounds of these queries
STEP_DOWN_COOLDOWN_SECONDS = 3.0  # a primary that gave up its role for its hanging disk is no candidate

TCP_CHECK_AFTER_SECONDS = 0.3  # time without heartbeat replies (datagrams), after which a backup is checked over TCP
BACKUP_TIMEOUT_SECONDS = 0.7  # a backup that is silent for this long is removed from the in-sync set
REFUSED_BACKUP_TIMEOUT_SECONDS = 0.2  # the same, if its machine refuses connections
UNREACHABLE_SECONDS = 2.0  # a member that is silent for this long may be replaced
DISK_STALL_SECONDS = 1.2  # a primary whose disk hangs for this long gives up its role
LEASE_LOST_TIMEOUT_SECONDS = 3.0  # a primary that has had no lease for this long gives up its role
RELEASE_WAIT_SECONDS = 0.2  # a planned stop waits this long for writes in progress
VIEW_CHANGE_RETRY_SECONDS = 0.3  # minimum wait of a primary after a failed view change or a higher epoch

APPEND_TIMEOUT_SECONDS = 1.5  # timeout of one call
REPAIR_TIMEOUT_SECONDS = 3.0  # timeout of one call
REPAIR_RETRY_SECONDS = 0.2  # after a repair call without an answer
PROBE_INTERVAL_SECONDS = 0.3  # between two empty appends to a backup that needs a repair

BOOTSTRAP_MIN_WAIT_SECONDS = 1.5  # from the start of the process to its first attempt
BOOTSTRAP_QUIET_SECONDS = 0.7  # the set of known nodes has to be unchanged for this long
BOOTSTRAP_TURN_SECONDS = 6.0  # if a node has not bootstrapped the system, the next one tries after this
BOOTSTRAP_REDUCED_SIZE_AFTER_SECONDS = 20.0  # then tolerance + 1 nodes suffice instead of 2 * tolerance + 1
BOOTSTRAP_POLL_SECONDS = 0.1  # between two checks of the known nodes

MAX_APPEND_BYTES = 1 << 20  # approximate limit of one call
MAX_REPAIR_BYTES = 1 << 20  # approximate limit of one call
RECENT_LOG_BYTES = 8 << 20  # of recent entries that are kept in memory
MAX_JOINING_LAG_ENTRIES = 200  # commits wait for a backup with at most this lag, so that it can join the in-sync set
HEARTBEATS_WITH_NEW_VIEW = 5  # the first heartbeats after a view change carry the view
HEARTBEATS_PER_VIEW = 10  # later, one heartbeat in this many carries it
