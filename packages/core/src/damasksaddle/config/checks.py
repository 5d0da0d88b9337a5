"""Checks between the fields of a service document."""

from collections.abc import Iterator

from damasksaddle.config.documents import (
    Pool,
    RetryPolicy,
    Route,
    RouteKind,
    ServiceDocument,
)

# The workspace whose rate limits the callers of open routes.
OPEN_WORKSPACE = "open"

Problem = tuple[tuple[int | str, ...], str]


def cross_check(document: ServiceDocument) -> list[Problem]:
    """Returns the path and the description of each problem."""
    found: list[Problem] = []
    urls: dict[str, str] = {}
    for name, pool in document.pools.items():
        found += _pool_problems(name, pool, urls)
    for name, route in document.routes.items():
        found += _route_problems(document, name, route)
    return found


def undeclared_workspaces(document: ServiceDocument) -> dict[str, str]:
    """
    Returns the workspaces that this document uses and does not declare.

    Another document may declare them. Each maps to the first route that uses it.
    """
    needed: dict[str, str] = {}
    for name, route in document.routes.items():
        used = [OPEN_WORKSPACE] if route.open else route.workspaces or []
        for workspace in used:
            if workspace not in document.workspaces:
                needed.setdefault(workspace, name)
    return needed


def document_warnings(document: ServiceDocument) -> list[str]:
    """Returns what cannot be checked without the documents of other services."""
    return [
        f"route {route}: workspace {workspace!r} must be declared by another document"
        for workspace, route in undeclared_workspaces(document).items()
    ]


def _pool_problems(name: str, pool: Pool, urls: dict[str, str]) -> Iterator[Problem]:
    seen: set[str] = set()
    for number, upstream in enumerate(pool.upstreams):
        path = ("pools", name, "upstreams", number, "name")
        if upstream.name in seen:
            yield path, f"two upstreams have the name {upstream.name!r}"
        elif urls.setdefault(upstream.name, upstream.url) != upstream.url:
            # Orders to free memory find an upstream by its name in the service.
            yield path, f"another pool has an upstream {upstream.name!r} elsewhere"
        seen.add(upstream.name)
    if pool.kind is RouteKind.MODEL:
        if not pool.model:
            yield ("pools", name), "a model pool names its model"
        unused = {"call_micros": pool.call_micros}
    else:
        unused = {
            field: getattr(pool, field)
            for field in (
                "model",
                "adapter",
                "version",
                "prompt_micros_per_ktoken",
                "output_micros_per_ktoken",
            )
        }
    for field, value in unused.items():
        if value:
            yield ("pools", name, field), f"has no meaning in a {pool.kind} pool"


def _route_problems(
    document: ServiceDocument, name: str, route: Route
) -> Iterator[Problem]:
    path = ("routes", name)
    pool = document.pools.get(route.pool)
    if pool is None:
        yield (*path, "pool"), f"there is no pool {route.pool!r}"
    elif pool.kind is RouteKind.MODEL:
        if route.open:
            yield (*path, "open"), "a model route cannot be open"
        if route.repeat is RetryPolicy.NEVER:
            # A failed generation continues on another engine.
            yield (*path, "repeat"), "a model route is always repeatable"
        for field in ("path", "outcome_path"):
            if getattr(route, field) not in ("", "/"):
                yield (*path, field), "has no meaning on a model route"
    if not route.path.startswith("/"):
        yield (*path, "path"), "a path begins with '/'"
    if route.open and route.workspaces is not None:
        yield (*path, "workspaces"), "an open route is open to all"
