"""
Fits the lifetime of addresses to the grace period.

A VM that is told to stop still gets the requests of callers that hold its address, and
each may take as long as its route permits. All of this has to fit into the grace
period, or the end of the process cuts requests that run.
"""

from damasksaddle_gateway.settings import GatewaySettings

# Callers use addresses for up to three times the TTL that they were given.
ADDRESS_RETENTION_FACTOR = 3
# Part of the grace period reserved for closing open connections.
STOP_MARGIN_S = 0.9
# Time until the other VMs no longer give out the address of a VM that leaves.
LEAVE_PROPAGATION_S = 0.2
# Callers with a shorter TTL would do little but ask for addresses.
MIN_ADDRESS_TTL_S = 0.5


def serving_s(settings: GatewaySettings) -> float:
    """Returns the time after a stop signal in which requests may run, in seconds."""
    return settings.grace_s - STOP_MARGIN_S


def fitting_ttl_s(settings: GatewaySettings, longest_request_s: float) -> float:
    """Returns the longest TTL with which a stop cuts no request; it may be negative."""
    usable_s = serving_s(settings) - LEAVE_PROPAGATION_S - longest_request_s
    return usable_s / ADDRESS_RETENTION_FACTOR


def address_ttl_s(settings: GatewaySettings, longest_request_s: float) -> float:
    """
    Returns the TTL of addresses in seconds.

    It is shorter than `settings.address_ttl_s` if the grace period requires it, but at
    least `MIN_ADDRESS_TTL_S`.
    """
    fitting_s = fitting_ttl_s(settings, longest_request_s)
    return min(settings.address_ttl_s, max(MIN_ADDRESS_TTL_S, fitting_s))
