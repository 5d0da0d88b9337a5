"""Connections to upstreams: model engines and plain services."""

from damasksaddle_node.upstreams.http import HttpUpstreams
from damasksaddle_node.upstreams.interfaces import (
    EngineDone,
    EngineEvent,
    EngineLoad,
    EngineRequest,
    EngineToken,
    PlainAnswer,
    PlainRequest,
    Upstreams,
)

__all__ = [
    "EngineDone",
    "EngineEvent",
    "EngineLoad",
    "EngineRequest",
    "EngineToken",
    "HttpUpstreams",
    "PlainAnswer",
    "PlainRequest",
    "Upstreams",
]
