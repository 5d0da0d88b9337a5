"""Settings of a gateway process, which a platform adapter fills in."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Address:
    """Address that a listener binds to."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """
    Addresses and limits of one gateway process.

    `key_revocation_ms` is how long a withdrawn key may remain accepted, `drain_ms` how
    long a draining upstream may receive new requests, `grace_s` how long the process
    may run after a stop signal, and `address_ttl_s` how long callers may use the
    addresses that they were given. `cores` is the number of CPU cores available to the
    VM.
    """

    vm: str
    failure_domain: str
    caller_address: Address
    ready_address: Address
    directory_address: Address
    metrics_address: Address
    peer_address: Address
    grace_s: float
    key_revocation_ms: float
    drain_ms: float
    address_ttl_s: float
    rate_window_s: float
    rate_overrun: float
    rate_slack: float
    settle_ms: float
    cores: float = 1.0
