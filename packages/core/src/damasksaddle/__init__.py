"""Code shared by the node, the gateway, the command line and the stand-ins."""

__version__ = "0.1.0"

__all__ = ["__version__"]
