"""Pools of upstreams: the queue and the placement of calls."""

from damasksaddle_node.pools.client import PoolClient
from damasksaddle_node.pools.owner import PoolSchedulers

__all__ = ["PoolClient", "PoolSchedulers"]
