"""Command line of the node daemon."""
