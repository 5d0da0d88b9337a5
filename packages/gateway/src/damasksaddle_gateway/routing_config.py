"""
The operator's configuration: routes, services, workspaces, keys and limits.

A `RoutingConfig` is an immutable version of it. Routes match by host and by the longest
path prefix.
"""

from dataclasses import dataclass, field

import xxhash


@dataclass(frozen=True, slots=True)
class Idempotent:
    """A request that may run more than once."""


@dataclass(frozen=True, slots=True)
class AtMostOnce:
    """A request that must run at most once."""


@dataclass(frozen=True, slots=True)
class Streaming:
    """
    A request whose response is a stream of events.

    A `resumable` stream may be continued after its last event by a new request; any
    other stream runs at most once.
    """

    resumable: bool
    max_gap_ms: float


RouteKind = Idempotent | AtMostOnce | Streaming


def is_retryable(kind: RouteKind) -> bool:
    """Tells whether a request of this kind may run again after it may have run."""
    match kind:
        case Idempotent():
            return True
        case AtMostOnce():
            return False
        case Streaming(resumable=resumable):
            return resumable


def is_resumable(kind: RouteKind) -> bool:
    """Tells whether another request may continue an interrupted response."""
    match kind:
        case Streaming(resumable=resumable):
            return resumable
        case Idempotent() | AtMostOnce():
            return False


@dataclass(frozen=True, slots=True)
class Target:
    """A service that receives a weighted share of a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """
    A route; `priority` 0 is the most urgent.

    If it `keeps_history`, a turn carries only its new input, and each turn is kept for
    `retention_s` after its end. Requests on a `sticky` route gain from an upstream that
    served the same program or object lately.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[Target, ...]
    timeout_ms: float
    target_latency_ms: float
    priority: int
    max_attempts: int
    public: bool
    keeps_history: bool = False
    retention_s: float = 0.0
    sticky: bool = False

    def service_for(self, stream_id: str) -> str:
        """Returns the service for a request and for those that continue its stream."""
        total = sum(target.weight for target in self.targets)
        point = xxhash.xxh32_intdigest(stream_id.encode()) / 2**32 * total
        for target in self.targets:
            point -= target.weight
            if point < 0:
                return target.service
        return self.targets[-1].service


@dataclass(frozen=True, slots=True)
class Engine:
    """Properties shared by the upstreams of a service that runs a model."""

    slots: int
    kv_capacity_tokens: int
    tokens_per_event: int


@dataclass(frozen=True, slots=True)
class Service:
    """
    A service; `engine` is None if it does not run a model.

    An upstream is cold for `cold_start_s` after it starts, and takes `cold_per_s`
    requests a second from all VMs together while it is cold; 0 means that upstreams of
    the service are never cold.
    """

    name: str
    max_connections: int
    engine: Engine | None = None
    health_path: str = ""
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Workspace:
    """
    A workspace with its rate across all VMs; a `rate_per_s` of 0 means no limit.

    `priority` overrides the route's priority if it is set.
    """

    name: str
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """Size limits and timeouts for callers."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


@dataclass(frozen=True, slots=True)
class Upstream:
    """
    An upstream as it registered itself.

    `started_at_ms` distinguishes successive processes that use the same id, and
    `software_version` is the version of the upstream's own software. An entry that
    differs only in `cold_remaining_ms`, the time for which the upstream was still cold
    when it wrote the entry, or in `sequence_number`, which grows with each renewal, is
    the same entry.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    started_at_ms: int = 0
    software_version: str = ""
    cold_remaining_ms: float = field(default=0.0, compare=False)
    sequence_number: int = field(default=0, compare=False)

    @property
    def incarnation(self) -> tuple[str, str, int]:
        """
        Identifies one process of the upstream; it changes when the upstream restarts.
        """
        return self.id, self.address, self.started_at_ms


@dataclass(frozen=True, slots=True)
class RoutingConfig:
    """One version of the operator's configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    workspaces: dict[str, Workspace]
    workspace_by_key: dict[str, str]
    limits: Limits = Limits()
    _by_host: dict[str, list[Route]] = field(init=False, compare=False)

    def __post_init__(self) -> None:
        by_host: dict[str, list[Route]] = {}
        for route in sorted(
            self.routes, key=lambda route: len(route.prefix), reverse=True
        ):
            by_host.setdefault(route.host.lower(), []).append(route)
        object.__setattr__(self, "_by_host", by_host)

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route whose prefix is the longest match for the path."""
        name = host.partition(":")[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    @property
    def uses_fleet_scheduling(self) -> bool:
        """
        Tells whether one VM for each service schedules the requests of all VMs.

        It does if a route keeps histories or upstreams start cold. In other
        configurations each VM places its requests by what it knows itself.
        """
        return any(route.keeps_history for route in self.routes) or any(
            service.cold_per_s > 0 for service in self.services.values()
        )

    def longest_timeout_ms(self) -> float:
        """Returns the longest timeout of a route, or 0 without routes."""
        return max((route.timeout_ms for route in self.routes), default=0.0)

    def most_urgent_priority(self) -> int:
        """Returns the priority of the most urgent streaming routes."""
        return min(
            (
                route.priority
                for route in self.routes
                if isinstance(route.kind, Streaming)
            ),
            default=0,
        )

    def find_workspace(self, key: str) -> Workspace | None:
        """Returns the workspace that holds a key, or None if the key is unknown."""
        name = self.workspace_by_key.get(key)
        return None if name is None else self.workspaces[name]
