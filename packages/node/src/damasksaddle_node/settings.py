"""Settings of a node; `settings_input` validates the input and creates them."""

from dataclasses import dataclass, field

FAILOVER_TIMEOUT_LEASES = 3


@dataclass(frozen=True, slots=True)
class Timing:
    """
    Timeouts and intervals. They must be the same on every node of the fleet.

    Larger fleets need a longer lease: each VM renews three times per lease, so 390
    nodes with a lease of 15 s cost the table 78 writes per second.
    """

    lease_s: float = 6.0
    freshness_s: float = 3.0
    # The VM that confirms freshness may itself be one poll behind, so streams of a
    # withdrawn key end within stream_grace_s + poll_s = 5 s.
    stream_grace_s: float = 4.0
    poll_s: float = 1.0
    commit_interval_s: float = 0.05
    durable_wait_s: float = 0.5
    peer_timeout_s: float = 2.0
    connect_timeout_s: float = 1.0
    accept_wait_s: float = 3.0
    hold_s: float = 30.0
    stop_timeout_s: float = 600.0
    order_timeout_s: float = 10.0

    @property
    def failover_timeout_s(self) -> float:
        """
        How long a request waits for a new owner after the old one has failed.

        In this time the lease of the failed VM expires, other VMs detect it, and they
        remove the VM from the fleet.
        """
        return FAILOVER_TIMEOUT_LEASES * self.lease_s


@dataclass(frozen=True, slots=True)
class TlsFiles:
    """Paths of certificate and key files; an empty path disables TLS."""

    http_tls_cert: str = ""
    http_tls_key: str = ""
    admin_tls_cert: str = ""
    admin_tls_key: str = ""
    peer_tls_cert: str = ""
    peer_tls_key: str = ""
    peer_tls_ca: str = ""
    outgoing_ca: str = ""


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one node."""

    name: str
    failure_domain: str
    http_host: str = "127.0.0.1"
    http_port: int = 0
    http_url: str = ""
    peer_host: str = "127.0.0.1"
    peer_port: int = 0
    peer_address: str = ""
    admin_host: str = "127.0.0.1"
    admin_port: int = 0
    table_url: str = ""
    objects_url: str = ""
    vm_list_url: str = ""
    fleet_secret: str = field(default="", repr=False)
    operator_token: str = field(default="", repr=False)
    streams: int = 4
    max_body_bytes: int = 4 * 1024 * 1024
    max_pending_bytes: int = 64 * 1024 * 1024
    max_undurable_micros: int = 1_000_000
    metrics_host: str = "127.0.0.1"
    metrics_port: int = 0
    log_level: str = "info"
    log_format: str = "text"
    timing: Timing = Timing()
    tls: TlsFiles = TlsFiles()
