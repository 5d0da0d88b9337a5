"""Settings of a gateway process, as data; an adapter fills them in."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Address:
    """Where a listener binds."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """
    Addresses and bounds of one gateway process.

    `key_revocation_ms` bounds how long a withdrawn key may go on working, `drain_ms`
    how long a draining upstream may get new requests, `grace_s` how long the process
    has after a signal to stop, and `address_ttl_s` how long callers keep the addresses
    they were given. `cores` is what the VM may use of a processor.
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
