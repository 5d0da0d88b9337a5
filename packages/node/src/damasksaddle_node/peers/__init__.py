"""RPC connections between the nodes of a fleet."""

from damasksaddle_node.peers.network import Network, TcpNetwork
from damasksaddle_node.peers.pool import PeerPool
from damasksaddle_node.peers.server import Handlers, PeerServer, Sender

__all__ = [
    "Handlers",
    "Network",
    "PeerPool",
    "PeerServer",
    "Sender",
    "TcpNetwork",
]
