"""Pools of upstreams: queueing and placement of calls, and engine orders."""

from damasksaddle_node.pools.client import PoolClient
from damasksaddle_node.pools.owner import PoolSchedulers

__all__ = ["PoolClient", "PoolSchedulers"]
