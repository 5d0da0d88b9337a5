"""Rate limiting of workspaces across the whole fleet."""

from damasksaddle_node.limits.bucket import TokenBucket
from damasksaddle_node.limits.limiter import Limiter

__all__ = ["TokenBucket", "Limiter"]
