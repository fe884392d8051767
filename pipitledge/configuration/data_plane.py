"""The configuration and the queue usage on a data plane node, pulled from the primary; versions never go back.

A node sends its version vector with each pull, so the answer is a small message if nothing is new. Nothing is stored on
disk: a process that starts pulls everything.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable

import msgspec

from pipitledge.configuration import checks
from pipitledge.configuration.checks import ParsedConfiguration
from pipitledge.configuration.datasets import (
    CONFIGURATION_ORIGIN,
    QueueUsageReport,
    decode_usage,
    usage_origin,
    usage_term,
)
from pipitledge.configuration.model import Configuration
from pipitledge.configuration.primary import CallsPrimary
from pipitledge.configuration.transfer import CompletedTransfer, TransferAssembly
from pipitledge.membership.primary_caller import Outcome
from pipitledge.runtime.logs import EventLog
from pipitledge.runtime.ports import Clock, Timer
from pipitledge.runtime.settings import Bounds
from pipitledge.wire.messages import DatasetVersion, PartialTransfer, PullReply, PullRequest, Update

PULL_INTERVAL_SECONDS = 0.4  # between pulls; shorter if `PULLS_PER_APPLY` pulls don't fit into config_apply_ms
PULLS_PER_APPLY = 3.0  # so that two pulls in a row may be refused; one without an answer takes longer
JITTER = 0.2  # +/- share of the interval, so that nodes that started together don't pull at the same time
RETRY_INTERVAL_SHARE = 0.25  # of the usual interval, before the retry of a failed pull
MIN_INTERVAL_SECONDS = 0.05
PULL_TIMEOUT_SHARE = 0.4  # of config_apply_ms: the timeout of one pull
MAX_PULL_TIMEOUT_SECONDS = 1.0
FAILURES_BEFORE_WARNING = 4  # failed pulls in a row before the first warning in the log

Listener = Callable[[Configuration], None]


class DataPlane:
    """Pulls datasets from the primary and keeps the newest version of each."""

    def __init__(self, clock: Clock, primary_caller: CallsPrimary, my_name: str, log: EventLog, bounds: Bounds) -> None:
        """Create the puller of the node `my_name`; `bounds.config_apply_ms` sets the interval and timeout of pulls."""
        apply_seconds = bounds.config_apply_ms / 1000.0
        self._clock = clock
        self._primary_caller = primary_caller
        self._my_name = my_name
        self._log = log
        self._interval = min(PULL_INTERVAL_SECONDS, apply_seconds / PULLS_PER_APPLY)
        self._timeout = min(MAX_PULL_TIMEOUT_SECONDS, apply_seconds * PULL_TIMEOUT_SHARE)
        self._random = random.Random(my_name)
        self._listeners: list[Listener] = []
        self._timer: Timer | None = None
        self._running = False
        self._parsed: ParsedConfiguration | None = None
        self._assembly = TransferAssembly()
        self._failures = 0  # pulls without an answer in a row
        self._usage: QueueUsageReport | None = None
        self._usage_term = 0
        self._usage_version = -1
        self._usage_at = -math.inf
        self._last_contact_at = -math.inf

    @property
    def configuration(self) -> Configuration | None:
        """The newest configuration pulled; None before the first."""
        return self._parsed.configuration if self._parsed is not None else None

    @property
    def failures(self) -> int:
        """Number of pulls without an answer since the last answered one."""
        return self._failures

    @property
    def partial(self) -> PartialTransfer | None:
        """The part received so far of a newer configuration; None if no transfer is in progress."""
        return self._assembly.partial

    @property
    def usage(self) -> QueueUsageReport | None:
        """The queue usage as last pulled; None before the first."""
        return self._usage

    @property
    def usage_revision(self) -> tuple[int, int]:
        """The term and version of `usage`; it changes whenever newer usage is pulled."""
        return self._usage_term, self._usage_version

    def age_s(self) -> float:
        """Return the seconds since the last answered pull was sent: the maximum age of the data."""
        return self._clock.now() - self._last_contact_at

    def usage_age_s(self) -> float:
        """Return the seconds since the pull was sent that last updated or confirmed `usage`."""
        return self._clock.now() - self._usage_at

    def on_change(self, listener: Listener) -> None:
        """Call `listener` with each newer configuration."""
        self._listeners.append(listener)

    def start(self) -> None:
        """Pull now, and then periodically."""
        self._running = True
        self._pull()

    def stop(self) -> None:
        """Stop pulling; the data pulled so far stays available."""
        self._running = False
        if self._timer is not None:
            self._timer.cancel()

    def _pull(self) -> None:
        sent_at = self._clock.now()
        request = PullRequest(self._my_name, self._vector(), self._assembly.partial, takes_pieces=True)
        self._primary_caller.call(request, self._timeout, lambda outcome: self._on_outcome(sent_at, outcome))

    def _vector(self) -> list[DatasetVersion]:
        vector = list[DatasetVersion]()
        if self._parsed is not None:
            vector.append(DatasetVersion(CONFIGURATION_ORIGIN, self._parsed.version))
        if self._usage is not None:
            vector.append(DatasetVersion(usage_origin(self._usage_term), self._usage_version))
        return vector

    def _on_outcome(self, sent_at: float, outcome: Outcome) -> None:
        reply = outcome.reply
        try:
            if isinstance(reply, PullReply):
                self._apply_reply(sent_at, reply)
            else:
                self._record_failure(sent_at)
        finally:  # also after a bad answer: a node that stopped pulling would keep outdated data
            if self._running:
                self._pull_after(self._next_interval(answered=isinstance(reply, PullReply)))

    def _apply_reply(self, sent_at: float, reply: PullReply) -> None:
        self._failures = 0
        self._last_contact_at = sent_at
        for update in reply.updates:
            self._apply_update(update)
        if reply.term == self._usage_term:
            self._usage_at = sent_at

    def _next_interval(self, answered: bool) -> float:
        """Return the seconds until the next pull; 0 while a newer configuration is being received in pieces."""
        if answered and self._assembly.partial is not None:
            return 0.0
        interval = self._interval if answered else self._interval * RETRY_INTERVAL_SHARE
        return interval * self._random.uniform(1.0 - JITTER, 1.0 + JITTER)

    def _record_failure(self, sent_at: float) -> None:
        """Count a pull without an answer; log a warning each time that their number has doubled."""
        self._failures += 1
        if self._failures >= FAILURES_BEFORE_WARNING and self._failures.bit_count() == 1:
            partial = self._assembly.partial
            self._log.warning(
                "pulls_unanswered",
                failures=self._failures,
                waited_s=self._clock.now() - sent_at,
                version=self._parsed.version if self._parsed is not None else 0,
                partial_bytes=partial.offset if partial is not None else 0,
            )

    def _pull_after(self, interval: float) -> None:
        when = self._clock.now() + max(MIN_INTERVAL_SECONDS, interval)
        self._timer = self._clock.at(when, self._pull)

    def _apply_update(self, update: Update) -> None:
        try:
            if update.origin == CONFIGURATION_ORIGIN:
                self._apply_configuration(update)
            else:
                self._apply_usage(update)
        except (ValueError, msgspec.MsgspecError) as error:
            self._log.error("dataset_unreadable", origin=update.origin, version=update.version, reason=error)

    def _apply_configuration(self, update: Update) -> None:
        if update.total:
            received = self._assembly.add(update)
        else:
            received = CompletedTransfer(update.base, update.version, update.payload)
        current = self._parsed.version if self._parsed else 0
        if received is None or received.version <= current:
            return
        if received.base == 0:
            parsed = checks.parse_accepted(received.payload)
        elif self._parsed is not None and received.base == current:
            parsed = checks.merge_accepted(received.payload, self._parsed)
        else:
            return
        self._parsed = parsed
        self._log.info("configuration_applied", version=parsed.version, before=current, bytes=len(received.payload))
        for listener in self._listeners:
            listener(parsed.configuration)

    def _apply_usage(self, update: Update) -> None:
        term = usage_term(update.origin)
        if term is None or (term, update.version) <= (self._usage_term, self._usage_version):
            return
        self._usage = decode_usage(update.payload)
        self._usage_term = term
        self._usage_version = update.version
