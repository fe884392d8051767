"""Fake replicated state for the tests of the scheduler: batches commit in order, after a delay."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from pipitledge.wire.messages import View, Write
from tests.system.virtual import Process, World, copied

COMMIT_S = 0.008


class StateOwner(Protocol):
    """Owner of the state, which outlives one primary."""

    world: World
    state: dict[str, bytes]
    term: int


class FakeReplicator:
    """Replicated state for one process of a primary: commits in order, after a delay."""

    def __init__(self, owner: StateOwner, process: Process, term: int) -> None:
        self._owner = owner
        self._process = process
        self._term = term
        self.leads = True
        self.commit_s = COMMIT_S
        self.stalled = False
        self._queue: list[tuple[list[Write], list[Callable[[], None]]]] = []

    @property
    def term(self) -> int:
        return self._term

    @property
    def view(self) -> View | None:
        return View(epoch=self._term, term=self._term, primary=self._process.machine.name)

    def is_primary(self) -> bool:
        return self.leads and self._process.alive and self._owner.term == self._term

    def write(self, writes: list[Write], on_committed: Callable[[], None] | None = None) -> None:
        assert self.is_primary(), "only the primary may write"
        assert writes, "an empty batch"
        self._queue.append((copied_writes(writes), [on_committed] if on_committed else []))
        self._process.world.after(self.commit_s, self.commit_next)

    def after_commit(self, action: Callable[[], None]) -> None:
        if self._queue:
            self._queue[-1][1].append(action)
        else:
            action()

    def commit_next(self) -> None:
        """Commit the oldest batch."""
        if self.stalled or not self._queue or self._owner.term != self._term:
            return
        writes, actions = self._queue.pop(0)
        self.apply(writes)
        for action in actions:
            self._process.deliver(action)

    def resume(self) -> None:
        """End a stall, and commit everything that is queued."""
        self.stalled = False
        while self._queue:
            self.commit_next()

    def settle(self) -> None:
        """Lose the role: a random prefix of the queued batches is committed, the others are dropped."""
        for writes, _ in self._queue[: self._owner.world.random.randint(0, len(self._queue))]:
            self.apply(writes)
        self._queue.clear()

    def apply(self, writes: list[Write]) -> None:
        for write in writes:
            if write.deleted:
                self._owner.state.pop(write.key, None)
            else:
                self._owner.state[write.key] = write.value


def copied_writes(writes: list[Write]) -> list[Write]:
    """Return copies, so that later changes of the writes have no effect."""
    return [copied(write) for write in writes]
