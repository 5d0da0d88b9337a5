"""Bounds the memory and descriptors that callers and upstreams take."""
