"""Service documents, validated when they are read."""

from damasksaddle.config.checks import (
    OPEN_WORKSPACE,
    document_warnings,
    undeclared_workspaces,
)
from damasksaddle.config.documents import (
    Policy,
    Pool,
    ProgramLimits,
    RetryPolicy,
    Route,
    RouteKind,
    ServiceDocument,
    Upstream,
    Workspace,
)
from damasksaddle.config.loader import (
    MAX_DOCUMENT_BYTES,
    decode_document,
    load_document,
)

__all__ = [
    "MAX_DOCUMENT_BYTES",
    "OPEN_WORKSPACE",
    "Policy",
    "Pool",
    "ProgramLimits",
    "RetryPolicy",
    "Route",
    "RouteKind",
    "ServiceDocument",
    "Upstream",
    "Workspace",
    "decode_document",
    "document_warnings",
    "load_document",
    "undeclared_workspaces",
]
