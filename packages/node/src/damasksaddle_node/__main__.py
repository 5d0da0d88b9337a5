"""Entry point of the node daemon, `damasksaddled`."""

from damasksaddle_node.commands.serve import main

__all__ = ["main"]

if __name__ == "__main__":
    main()
