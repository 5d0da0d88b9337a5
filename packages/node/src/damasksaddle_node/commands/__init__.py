"""Commands of the node daemon."""
