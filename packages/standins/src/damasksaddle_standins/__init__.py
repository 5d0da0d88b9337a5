"""
Stand-ins for what lies outside of damasksaddle. For development only.

They record what they saw, so that tests can assert on that instead of on what the
system says of itself.
"""

from damasksaddle_standins.engine import EngineSettings, ModelEngine
from damasksaddle_standins.network import MemoryNetwork
from damasksaddle_standins.platform import MemoryObjects, MemoryTable, MemoryVmList
from damasksaddle_standins.tool import ToolService
from damasksaddle_standins.upstreams import LocalUpstreams

__all__ = [
    "EngineSettings",
    "LocalUpstreams",
    "MemoryNetwork",
    "MemoryObjects",
    "MemoryTable",
    "MemoryVmList",
    "ModelEngine",
    "ToolService",
]
