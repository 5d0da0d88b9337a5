"""
Stand-ins for the services that damasksaddle depends on, for development only.

They record the requests they receive, so that tests can check these records instead
of relying on what the system reports about itself.
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
