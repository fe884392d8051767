"""Whether this node should get new connections of clients."""

from __future__ import annotations

from pipitledge.configuration.data_plane import DataPlane

MAX_CONTACT_AGE_SECONDS = 5.0  # without a primary; far longer than a fail-over, through which all nodes would else flap


class Readiness:
    """Answers the platform's question of each second."""

    def __init__(self, data_plane: DataPlane) -> None:
        """Judge by what `data_plane` knows, and how old it is."""
        self._data_plane = data_plane
        self._stopping = False

    @property
    def stopping(self) -> bool:
        """Whether the process was asked to end."""
        return self._stopping

    def stop(self) -> None:
        """Be unready from now on."""
        self._stopping = True

    def ready(self) -> bool:
        """Configured, in contact with a primary, and not about to end."""
        if self._stopping or self._data_plane.configuration is None:
            return False
        return self._data_plane.age_s() <= MAX_CONTACT_AGE_SECONDS
