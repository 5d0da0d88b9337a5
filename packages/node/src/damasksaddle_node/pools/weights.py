"""
The weight store, modelled as a pool.

Each load of weights occupies a slot of this pool. All loads of the fleet thus go
through one queue and do not exceed the rate of the store, no matter which VMs own
the pools of the engines.
"""

from collections.abc import Iterator

from damasksaddle.config import Policy, Pool, RouteKind, Upstream
from damasksaddle_node.fleet.state import FleetState

# Not a valid service name, so it cannot collide with a pool of a document.
WEIGHT_STORE = "/weights"


def weight_store_pool(state: FleetState) -> Pool:
    """Returns the weight store as a pool with one slot per concurrent load."""
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
    """Yields the names of all pools, including the weight store."""
    for service, version in state.documents.items():
        for name in version.document.pools:
            yield f"{service}/{name}"
    if state.documents:
        yield WEIGHT_STORE
