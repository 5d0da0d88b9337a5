"""Documents that operators write, checked at the border."""

from damasksaddle.config.documents import (
    Policy,
    Pool,
    ProgramLimits,
    Repeat,
    Route,
    RouteKind,
    ServiceDocument,
    Upstream,
    Workspace,
)
from damasksaddle.config.loader import load_document

__all__ = [
    "Policy",
    "Pool",
    "ProgramLimits",
    "Repeat",
    "Route",
    "RouteKind",
    "ServiceDocument",
    "Upstream",
    "Workspace",
    "load_document",
]
