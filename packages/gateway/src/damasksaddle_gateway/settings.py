"""Settings of a gateway process, which a platform adapter fills in."""

from dataclasses import dataclass, fields, replace

# Settings that a running process can change; the others need a restart.
LIVE_SETTINGS = frozenset(
    (
        "grace_s",
        "key_revocation_ms",
        "drain_ms",
        "address_ttl_s",
        "rate_window_s",
        "rate_overrun",
        "rate_slack",
        "settle_ms",
        "cores",
        "evacuation_ms",
        "cold_overrun",
        "cold_slack",
        "verified_directory",
    )
)


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
    VM, `memory_mb` its memory and `max_descriptors` the number of its file descriptors;
    0 means that no limit is known. `evacuation_ms` is how long requests may reach a
    failure domain after its evacuation; None if failure domains are not evacuated. A
    cold upstream may get its rate times `cold_overrun` plus `cold_slack` requests in
    one second. With `verified_directory`, callers get the address of another VM only
    while there is proof that it runs.
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
    memory_mb: float = 0.0
    max_descriptors: int = 0
    evacuation_ms: float | None = None
    cold_overrun: float = 1.0
    cold_slack: float = 0.0
    verified_directory: bool = False

    def changed_fields(self, other: "GatewaySettings") -> list[str]:
        """Returns the names of the fields that differ."""
        return [
            field.name
            for field in fields(self)
            if getattr(self, field.name) != getattr(other, field.name)
        ]

    def with_live_settings(self, other: "GatewaySettings") -> "GatewaySettings":
        """Returns these settings with those of `other` that need no restart."""
        live = {name: getattr(other, name) for name in LIVE_SETTINGS}
        return replace(self, **live)
