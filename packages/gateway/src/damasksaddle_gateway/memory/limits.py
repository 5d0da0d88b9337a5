"""Derives the bounds of a process from the limits of its machine."""

import resource

# Memory that a process without a known limit uses for callers and upstreams: above what
# the clients of any deployment hold at once.
DEFAULT_BUDGET_BYTES = 1024 * 1024 * 1024
# The least budget: one request of the largest size, and small ones beside it.
MIN_BUDGET_BYTES = 12 * 1024 * 1024
MEGABYTE = 1_000_000
# Memory that the process takes after its start, for its configuration and peers.
GROWTH_BYTES = 12 * MEGABYTE
# Share of the remaining memory that the budget counts. The rest is for what is not
# counted: copies while a body is joined and sent, objects, and fragmentation.
BUDGET_SHARE = 0.6
# Descriptors that are not used for connections.
FILE_DESCRIPTORS = 200
# Descriptors for listeners, the store and the nearest peers.
OWN_DESCRIPTORS = 64
# A connection without a request holds about 7 KB: its objects, task and parser.
CONNECTION_BYTES = 16 * 1024
# Share of the budget that connections without requests may use.
CONNECTIONS_SHARE = 1 / 4


def memory_budget_bytes(memory_mb: float) -> int:
    """Returns the memory that this process may hold for callers and upstreams."""
    if not memory_mb:
        return DEFAULT_BUDGET_BYTES
    used_bytes = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
    free_bytes = memory_mb * MEGABYTE - used_bytes - GROWTH_BYTES
    return max(MIN_BUDGET_BYTES, int(free_bytes * BUDGET_SHARE))


# The least number of connections that is permitted, whatever the limits say.
MIN_CONNECTIONS = 16
MAX_BACKLOG = 128
# Share of the connections to the readiness probe, the directory and the metrics, beside
# those of callers.
SERVICE_SHARE = 1 / 4


def max_connections(max_descriptors: int, budget_bytes: int) -> int:
    """
    Returns how many connections of callers may be open; a bound of 0 means no limit.

    Each may need a second descriptor, for the connection to an upstream.
    """
    by_memory = int(budget_bytes * CONNECTIONS_SHARE) // CONNECTION_BYTES
    if not max_descriptors:
        return max(MIN_CONNECTIONS, by_memory)
    by_descriptors = (max_descriptors - FILE_DESCRIPTORS - OWN_DESCRIPTORS) // 2
    return max(MIN_CONNECTIONS, min(by_memory, by_descriptors))


def max_service_connections(caller_connections: int) -> int:
    """Returns how many connections to the other listeners may be open."""
    return max(MIN_CONNECTIONS, int(caller_connections * SERVICE_SHARE))


def backlog_size(connections: int) -> int:
    """
    Returns how many connections may wait to be accepted.

    As many are accepted in one turn of the loop, before any surplus can be closed.
    """
    return min(MAX_BACKLOG, max(MIN_CONNECTIONS, connections // 4))
