"""Whether this node should get new connections of clients."""

from __future__ import annotations

from pipitledge.configuration.data_plane import DataPlane

MAX_CONTACT_AGE_SECONDS = 5.0  # far longer than a fail-over, during which all nodes would otherwise become unready


class Readiness:
    """The readiness check that the platform calls every second."""

    def __init__(self, data_plane: DataPlane) -> None:
        """Derive readiness from the data of `data_plane` and its age."""
        self._data_plane = data_plane
        self._stopping = False

    @property
    def stopping(self) -> bool:
        """Whether the process is shutting down."""
        return self._stopping

    def stop(self) -> None:
        """Become unready for good."""
        self._stopping = True

    def ready(self) -> bool:
        """Return whether the node is configured, in contact with a primary, and not shutting down."""
        if self._stopping or self._data_plane.configuration is None:
            return False
        return self._data_plane.age_s() <= MAX_CONTACT_AGE_SECONDS
