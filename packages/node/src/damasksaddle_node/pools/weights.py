"""
The weight store as a pool of its own.

A load of weights takes a slot of it, so that one queue orders the loads of the whole
fleet and the store's rate is not exceeded, whoever owns the engines' pools.
"""

from collections.abc import Iterator

from damasksaddle.config import Policy, Pool, RouteKind, Upstream
from damasksaddle_node.fleet.state import FleetState

# No service can have this name, so it is no document's pool.
WEIGHT_STORE = "/weights"


def weight_store_pool(state: FleetState) -> Pool:
    """Returns the store as a pool; its slots are the loads at one time."""
    max_loads = [
        pool.weight_loads
        for version in state.documents.values()
        for pool in version.document.pools.values()
        if pool.kind is RouteKind.MODEL
    ]
    store = Upstream(
        name="store",
        url="http://weights",
        failure_domain="any",
        slots=min(max_loads, default=1),
    )
    return Pool(kind=RouteKind.PLAIN, upstreams=[store], policy=Policy.ROUND_ROBIN)


def pool_names(state: FleetState) -> Iterator[str]:
    """Yields the names of all pools."""
    for service, version in state.documents.items():
        for name in version.document.pools:
            yield f"{service}/{name}"
    if state.documents:
        yield WEIGHT_STORE
