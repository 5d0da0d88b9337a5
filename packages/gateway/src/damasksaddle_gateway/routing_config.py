"""
What the operator has put in force: routes, services, workspaces, keys and limits.

A `Catalogue` is one version of it and never changes. Its routes are matched by host
and by the longest prefix of the path.
"""

from dataclasses import dataclass, field

import xxhash


@dataclass(frozen=True, slots=True)
class Idempotent:
    """The upstream may run such a request more than once."""


@dataclass(frozen=True, slots=True)
class AtMostOnce:
    """An upstream runs such a request once or not at all."""


@dataclass(frozen=True, slots=True)
class Streaming:
    """
    The response is a series of events.

    A `resumable` stream may be continued after its last event by a new request;
    any other one runs at most once.
    """

    resumable: bool
    max_gap_ms: float


RouteKind = Idempotent | AtMostOnce | Streaming


def is_retryable(kind: RouteKind) -> bool:
    """Tells whether a request of this kind may run again after it has run."""
    match kind:
        case Idempotent():
            return True
        case AtMostOnce():
            return False
        case Streaming(resumable=resumable):
            return resumable


@dataclass(frozen=True, slots=True)
class Target:
    """A service that gets a share of a route's requests, by weight."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """One route; `priority` 0 is the most urgent."""

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

    def service_for(self, request_id: str) -> str:
        """Returns the service of a request; the same for each try of it."""
        total = sum(target.weight for target in self.targets)
        point = xxhash.xxh32_intdigest(request_id.encode()) / 2**32 * total
        for target in self.targets:
            point -= target.weight
            if point < 0:
                return target.service
        return self.targets[-1].service


@dataclass(frozen=True, slots=True)
class Engine:
    """What the upstreams of a service that runs a model have in common."""

    slots: int
    kv_capacity_tokens: int
    tokens_per_event: int


@dataclass(frozen=True, slots=True)
class Service:
    """A service; `engine` is None if it does not run a model."""

    name: str
    max_connections: int
    engine: Engine | None = None


@dataclass(frozen=True, slots=True)
class Workspace:
    """
    A workspace with its rate over all VMs; a `rate_per_s` of 0 means no limit.

    `priority` overrides that of the route if it is set.
    """

    name: str
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


@dataclass(frozen=True, slots=True)
class Limits:
    """What a caller may send, and how long it may take or stay idle."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


@dataclass(frozen=True, slots=True)
class Upstream:
    """
    One upstream as it registered itself.

    `started_at_ms` tells two starts under the same id apart.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    started_at_ms: int = 0

    @property
    def incarnation(self) -> tuple[str, str, int]:
        """What changes when the upstream starts anew."""
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
        """Returns the route with the longest prefix that begins the path."""
        name = host.partition(":")[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def most_urgent_priority(self) -> int:
        """Returns the priority of the most urgent routes of programs."""
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
