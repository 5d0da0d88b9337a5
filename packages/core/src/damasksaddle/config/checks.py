"""Checks that involve several fields of a service document."""

from collections.abc import Iterator

from damasksaddle.config.documents import (
    Pool,
    RetryPolicy,
    Route,
    RouteKind,
    ServiceDocument,
)

# Callers of open routes share the rate of this workspace.
OPEN_WORKSPACE = "open"

Problem = tuple[tuple[int | str, ...], str]


def cross_check(document: ServiceDocument) -> list[Problem]:
    """Returns the path and a description of each problem."""
    problems: list[Problem] = []
    urls: dict[str, str] = {}
    for name, pool in document.pools.items():
        problems += _pool_problems(name, pool, urls)
    for name, route in document.routes.items():
        problems += _route_problems(document, name, route)
    return problems


def undeclared_workspaces(document: ServiceDocument) -> dict[str, str]:
    """
    Returns the workspaces that this document uses but does not declare.

    Another document may declare them. Each name maps to the first route that uses it.
    """
    undeclared: dict[str, str] = {}
    for name, route in document.routes.items():
        used = [OPEN_WORKSPACE] if route.open else route.workspaces or []
        for workspace in used:
            if workspace not in document.workspaces:
                undeclared.setdefault(workspace, name)
    return undeclared


def document_warnings(document: ServiceDocument) -> list[str]:
    """Returns what can be checked only against the documents of other services."""
    return [
        f"route {route}: workspace {workspace!r} must be declared by another document"
        for workspace, route in undeclared_workspaces(document).items()
    ]


def _pool_problems(name: str, pool: Pool, urls: dict[str, str]) -> Iterator[Problem]:
    names: set[str] = set()
    for index, upstream in enumerate(pool.upstreams):
        path = ("pools", name, "upstreams", index, "name")
        if upstream.name in names:
            yield path, f"two upstreams have the name {upstream.name!r}"
        elif urls.setdefault(upstream.name, upstream.url) != upstream.url:
            # Orders to free memory address an upstream by its name within the service.
            yield path, f"another pool has upstream {upstream.name!r} with another URL"
        names.add(upstream.name)
    if pool.kind is RouteKind.MODEL:
        if not pool.model:
            yield ("pools", name), "a model pool requires the field 'model'"
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
            yield ("pools", name, field), f"not allowed in a {pool.kind} pool"


def _route_problems(
    document: ServiceDocument, name: str, route: Route
) -> Iterator[Problem]:
    path = ("routes", name)
    pool = document.pools.get(route.pool)
    if pool is None:
        yield (*path, "pool"), f"unknown pool {route.pool!r}"
    elif pool.kind is RouteKind.MODEL:
        if route.open:
            yield (*path, "open"), "a model route cannot be open"
        if route.repeat is RetryPolicy.NEVER:
            # A generation that fails on one engine is continued on another.
            yield (*path, "repeat"), "calls of a model route are always retried"
        for field in ("path", "outcome_path"):
            if getattr(route, field) not in ("", "/"):
                yield (*path, field), "not allowed on a model route"
    if not route.path.startswith("/"):
        yield (*path, "path"), "must start with '/'"
    if route.open and route.workspaces is not None:
        yield (*path, "workspaces"), "not allowed on an open route"
