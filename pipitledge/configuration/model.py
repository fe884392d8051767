"""The configuration in force as typed objects, as the rest of the system reads it."""

from __future__ import annotations

from functools import cached_property

from msgspec import Struct


class Route(Struct, frozen=True):
    """A queue: the host and path prefix where clients reach it, and how its jobs are run."""

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0  # 0 is the highest
    max_attempts: int = 1
    stretch: float = 1.0  # a job's objective is `stretch` times its longest chain of work plus the target latency
    target_latency_ms: int = 0
    timeout_ms: int = 0


class Service(Struct, frozen=True):
    """A kind of worker; a route names the service whose workers run its jobs."""

    name: str
    health_path: str = ""
    max_connections: int = 0
    preconditions: bool = False


class Limits(Struct, frozen=True):
    """Limits of clients' HTTP requests; 0 means that the operator set none."""

    max_header_bytes: int = 0
    max_body_bytes: int = 0
    header_timeout_ms: int = 0
    idle_timeout_ms: int = 0


class Configuration(Struct, frozen=True, dict=True):
    """One version of the configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: Limits = Limits()

    def route_by_name(self, name: str) -> Route | None:
        """Return the route of that name; None if there is none."""
        return next((route for route in self.routes if route.name == name), None)

    @cached_property
    def _routes_by_host(self) -> dict[str, list[Route]]:
        """Routes by lower-case host, longest path prefix first."""
        by_host: dict[str, list[Route]] = {}
        for route in sorted(self.routes, key=lambda route: -len(route.path_prefix)):
            by_host.setdefault(route.host.lower(), []).append(route)
        return by_host

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of that host (case and port are ignored) with the longest prefix of `path`."""
        bare = host.rsplit(":", 1)[0] if ":" in host else host
        fitting = self._routes_by_host.get(bare.lower(), ())
        return next((route for route in fitting if path.startswith(route.path_prefix)), None)
