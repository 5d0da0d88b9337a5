"""Parts of damasksaddle that the node, the command line and the stand-ins share."""

__version__ = "0.1.0"

__all__ = ["__version__"]
