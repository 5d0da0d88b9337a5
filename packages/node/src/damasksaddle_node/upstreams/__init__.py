"""Clients of upstreams: model engines and plain services."""

from damasksaddle_node.upstreams.http import HttpUpstreams
from damasksaddle_node.upstreams.interfaces import (
    SAMPLING_PARAMETERS,
    CacheEvent,
    EngineDone,
    EngineEvent,
    EngineHoldings,
    EngineLoad,
    EngineOrder,
    EngineRequest,
    EngineToken,
    PlainRequest,
    PlainResponse,
    Upstreams,
)

__all__ = [
    "SAMPLING_PARAMETERS",
    "CacheEvent",
    "EngineDone",
    "EngineEvent",
    "EngineHoldings",
    "EngineLoad",
    "EngineOrder",
    "EngineRequest",
    "EngineToken",
    "HttpUpstreams",
    "PlainResponse",
    "PlainRequest",
    "Upstreams",
]
