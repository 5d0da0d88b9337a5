"""The HTTP APIs for callers and operators."""

from damasksaddle_node.http.admin import admin_app
from damasksaddle_node.http.app import caller_app

__all__ = ["admin_app", "caller_app"]
