"""Collects changes of replicated state for a short time and writes them as one atomic batch."""

from __future__ import annotations

from collections.abc import Callable

from pipitledge.replication.interface import Replicator
from pipitledge.wire.messages import Write

Action = Callable[[], None]


class Batch:
    """Pending writes, and the actions to run once they are committed."""

    def __init__(self, replicator: Replicator, request_flush: Action) -> None:
        """`request_flush` is called after each change; it has to arrange a call of `flush` soon."""
        self._replicator = replicator
        self._request_flush = request_flush
        self._writes: dict[str, Write] = {}
        self._actions: list[Action] = []
        self._generation = 0

    def put(self, key: str, value: bytes) -> None:
        """Set the value of a key with the next flush."""
        self._writes[key] = Write(key=key, value=value)
        self._request_flush()

    def delete(self, key: str) -> None:
        """Delete a key with the next flush."""
        self._writes[key] = Write(key=key, deleted=True)
        self._request_flush()

    def when_committed(self, action: Action) -> None:
        """Run an action once all changes so far are committed; never, if this node stops being primary before."""
        if self._writes:
            self._actions.append(action)
        else:
            self._replicator.after_commit(self._guarded([action]))

    def flush(self, first: Action, last: Action) -> bool:
        """Write all pending changes; returns False, and keeps them, if this node may not write now.

        After the commit, `first` runs, then the actions passed to `when_committed`, then `last`.
        """
        if not self._writes:
            return True
        if not self._replicator.is_primary():
            return False
        writes, self._writes = list(self._writes.values()), {}
        actions, self._actions = self._actions, []
        self._replicator.write(writes, self._guarded([first, *actions, last]))
        return True

    def drop(self) -> None:
        """Discard pending writes and actions, because this node is no longer primary."""
        self._generation += 1
        self._writes.clear()
        self._actions.clear()

    def _guarded(self, actions: list[Action]) -> Action:
        """Combine the actions into one that does nothing after `drop`."""
        generation = self._generation

        def run() -> None:
            for action in actions:
                if generation != self._generation:
                    return
                action()

        return run
