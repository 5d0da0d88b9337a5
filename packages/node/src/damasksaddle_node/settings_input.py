"""
Validation of the settings that come from flags and environment variables.

The fields of `SettingsInput` are the flags of `damasksaddled`: `lease_s` is `--lease-s`
and `DAMASKSADDLE_LEASE_S`.
"""

from dataclasses import fields
from ipaddress import ip_address
from typing import Annotated, Any, Literal
from urllib.parse import urlsplit

from pydantic import (
    AfterValidator,
    BaseModel,
    ConfigDict,
    Field,
    SecretStr,
    ValidationError,
    model_validator,
)

from damasksaddle.exceptions import SettingsInvalid
from damasksaddle_node.settings import Settings, Timing, TlsFiles


def _validate_http_url(text: str) -> str:
    try:
        parts = urlsplit(text)
        valid = parts.scheme in ("http", "https") and bool(parts.hostname)
        valid = valid and not (parts.query or parts.fragment) and parts.port != 0
    except ValueError:
        valid = False
    if not valid:
        raise ValueError("must be an HTTP URL, such as http://10.0.0.1:8080")
    return text.rstrip("/")


def _validate_optional_http_url(text: str) -> str:
    return _validate_http_url(text) if text else text


def _validate_optional_address(text: str) -> str:
    if text:
        host, _, port = text.rpartition(":")
        if not host or not port.isdecimal() or not 0 < int(port) < 65536:
            raise ValueError("must be HOST:PORT")
    return text


def _min_length(min_chars: int) -> AfterValidator:
    def validate(secret: SecretStr) -> SecretStr:
        text = secret.get_secret_value()
        if text and len(text) < min_chars:
            raise ValueError(f"must have at least {min_chars} characters")
        return secret

    return AfterValidator(validate)


DnsLabel = Annotated[str, Field(pattern=r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$")]
Host = Annotated[str, Field(min_length=1, pattern=r"^\S+$")]
ListenPort = Annotated[int, Field(ge=0, le=65535)]
Url = Annotated[str, AfterValidator(_validate_http_url)]
OptionalUrl = Annotated[str, AfterValidator(_validate_optional_http_url)]


class SettingsInput(BaseModel):
    """Settings of one node."""

    model_config = ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)

    # This VM.
    name: DnsLabel = Field(description="Name of this VM, unique in the fleet.")
    failure_domain: DnsLabel = Field(description="Failure domain of this VM.")
    http_host: Host = Field(
        "127.0.0.1", description="Address on which callers connect."
    )
    http_port: ListenPort = Field(
        0, description="Port for callers; 0 picks a free one."
    )
    http_url: OptionalUrl = Field(
        "",
        description="URL advertised to callers, if it differs from host and port.",
    )
    peer_host: Host = Field(
        "127.0.0.1", description="Address on which other nodes connect."
    )
    peer_port: ListenPort = Field(
        0, description="Port for other nodes; 0 picks a free one."
    )
    peer_address: Annotated[str, AfterValidator(_validate_optional_address)] = Field(
        "", description="HOST:PORT advertised to other nodes, if it differs."
    )
    admin_host: Host = Field(
        "127.0.0.1", description="Address on which operators connect."
    )
    admin_port: ListenPort = Field(
        0, description="Port for operators; 0 picks a free one."
    )

    # Platform.
    table_url: Url = Field(description="URL of the platform's table service.")
    objects_url: Url = Field(description="URL of the platform's object store.")
    vm_list_url: Url = Field(description="URL of the platform's VM list.")

    # Secrets.
    fleet_secret: Annotated[SecretStr, _min_length(16)] = Field(
        description="Secret shared by all nodes of the fleet; at least 16 characters. "
        "Use the variable, because flags are visible in process lists."
    )
    operator_token: Annotated[SecretStr, _min_length(8)] = Field(
        SecretStr(""),
        description="Token for the admin API, which rejects all requests if it is not "
        "set. Use the variable.",
    )

    # TLS.
    http_tls_cert: str = Field("", description="Certificate file for callers.")
    http_tls_key: str = Field("", description="Key file for callers.")
    admin_tls_cert: str = Field("", description="Certificate file for operators.")
    admin_tls_key: str = Field("", description="Key file for operators.")
    peer_tls_cert: str = Field("", description="Certificate file for peer connections.")
    peer_tls_key: str = Field("", description="Key file for peer connections.")
    peer_tls_ca: str = Field(
        "", description="CA file with which nodes verify each other's certificates."
    )
    outgoing_ca: str = Field(
        "",
        description="CA file for HTTPS connections to the platform and to upstreams.",
    )

    # Limits.
    streams: Annotated[int, Field(ge=1, le=64)] = Field(
        4,
        description="Number of commit streams; the same on all nodes and fixed for the "
        "life of the fleet.",
    )
    max_body_bytes: Annotated[int, Field(ge=1024, le=8 * 1024 * 1024 - 65536)] = Field(
        4 * 1024 * 1024,
        description="Largest request body; a frame between nodes is at most 8 MiB.",
    )
    max_pending_bytes: Annotated[int, Field(ge=65536)] = Field(
        64 * 1024 * 1024,
        description="Most bytes of records of a partition that wait to be written.",
    )
    max_undurable_micros: Annotated[int, Field(ge=0)] = Field(
        1_000_000,
        description="Largest total charge of a partition that waits to be written, "
        "in millionths.",
    )

    # Timeouts and intervals; they must be the same on all nodes.
    lease_s: Annotated[float, Field(ge=0.5, le=300)] = Field(
        6.0, description="How long a VM may act after one renewal of its lease."
    )
    freshness_s: Annotated[float, Field(ge=0.1, le=3)] = Field(
        3.0, description="Largest age of the proof that the fleet log is current."
    )
    stream_grace_s: Annotated[float, Field(ge=0.1, le=4)] = Field(
        4.0, description="Age of the proof at which a node ends its open streams."
    )
    poll_s: Annotated[float, Field(ge=0.02, le=3)] = Field(
        1.0, description="Interval at which the fleet log is read."
    )
    commit_interval_s: Annotated[float, Field(ge=0.005, le=5)] = Field(
        0.05, description="Shortest interval between two rows of a commit stream."
    )
    durable_wait_s: Annotated[float, Field(ge=0.01, le=30)] = Field(
        0.5, description="How long a response waits until its record is durable."
    )
    peer_timeout_s: Annotated[float, Field(ge=0.05, le=60)] = Field(
        2.0, description="Timeout of a request to another node or the platform."
    )
    connect_timeout_s: Annotated[float, Field(ge=0.05, le=60)] = Field(
        1.0, description="Timeout for connecting to another node."
    )
    accept_wait_s: Annotated[float, Field(ge=0.1, le=3)] = Field(
        3.0, description="How long a change waits for a majority of the VMs."
    )
    hold_s: Annotated[float, Field(ge=0, le=3600)] = Field(
        30.0, description="How long callers may cache the list of addresses."
    )
    stop_timeout_s: Annotated[float, Field(ge=0, le=86_400)] = Field(
        600.0, description="Timeout of a graceful shutdown."
    )
    order_timeout_s: Annotated[float, Field(ge=0.1, le=600)] = Field(
        10.0,
        description="Longest time for which an order to an upstream can be in transit.",
    )

    # Logs and metrics.
    metrics_host: Host = Field(
        "127.0.0.1", description="Address on which metrics are served."
    )
    metrics_port: Annotated[int, Field(ge=0, le=65535)] = Field(
        0, description="Port on which `/metrics` is served; 0 picks a free one."
    )
    log_level: Literal["debug", "info", "warning", "error"] = Field(
        "info", description="Lowest level that is logged."
    )
    log_format: Literal["text", "json"] = Field(
        "text", description="Whether log lines are text or JSON objects."
    )

    @model_validator(mode="after")
    def _check_constraints(self) -> "SettingsInput":
        for shorter, longer in _STRICTLY_SHORTER:
            if not getattr(self, shorter) < getattr(self, longer):
                raise ValueError(
                    f"{_flag(shorter)} must be shorter than {_flag(longer)}"
                )
        for lower, upper in _AT_MOST:
            if getattr(self, lower) > getattr(self, upper):
                raise ValueError(f"{_flag(lower)} must not exceed {_flag(upper)}")
        if not self.fleet_secret.get_secret_value():
            raise ValueError("--fleet-secret or DAMASKSADDLE_FLEET_SECRET is not set")
        for interface, file_kinds in _TLS_FILE_SETS.items():
            given = [
                bool(getattr(self, f"{interface}_tls_{file_kind}"))
                for file_kind in file_kinds
            ]
            if any(given) and not all(given):
                names = ", ".join(
                    _flag(f"{interface}_tls_{file_kind}") for file_kind in file_kinds
                )
                raise ValueError(f"{names} must be given together")
        for host, advertised in (
            ("http_host", "http_url"),
            ("peer_host", "peer_address"),
        ):
            if _is_unspecified_address(getattr(self, host)) and not getattr(
                self, advertised
            ):
                raise ValueError(
                    f"{_flag(advertised)} is required because {_flag(host)} is not an "
                    "address that others can connect to"
                )
        return self


# Freshness must end before the lease, so that a VM that lost its lease is not fresh.
_STRICTLY_SHORTER = (
    ("freshness_s", "lease_s"),
    ("poll_s", "freshness_s"),
    ("commit_interval_s", "durable_wait_s"),
)
# A single platform request that times out must not make the lease expire.
_AT_MOST = (
    ("freshness_s", "stream_grace_s"),
    ("connect_timeout_s", "peer_timeout_s"),
    ("peer_timeout_s", "lease_s"),
    ("hold_s", "stop_timeout_s"),
)
_TLS_FILE_SETS = {
    "http": ("cert", "key"),
    "admin": ("cert", "key"),
    "peer": ("cert", "key", "ca"),
}


def _flag(name: str) -> str:
    return "--" + name.replace("_", "-")


SETTING_CONSTRAINTS = [
    *(f"`{_flag(a)}` is shorter than `{_flag(b)}`" for a, b in _STRICTLY_SHORTER),
    *(f"`{_flag(a)}` does not exceed `{_flag(b)}`" for a, b in _AT_MOST),
]


def _is_unspecified_address(host: str) -> bool:
    try:
        return ip_address(host).is_unspecified
    except ValueError:
        return False


def check_settings(options: dict[str, Any]) -> Settings:
    """
    Validates options and returns the settings.

    Raises `SettingsInvalid` with a message of one line that never contains the value
    of a secret.
    """
    try:
        return _to_settings(SettingsInput(**options))
    except ValidationError as error:
        raise SettingsInvalid(_describe_error(error)) from None


def _describe_error(error: ValidationError) -> str:
    first_error = error.errors(include_url=False, include_input=False)[0]
    message = first_error["msg"].removeprefix("Value error, ")
    if not first_error["loc"]:
        return message
    flag = _flag(str(first_error["loc"][0]))
    if first_error["type"] == "missing":
        return (
            f"{flag} or {environment_variable(str(first_error['loc'][0]))} is not set"
        )
    return f"{flag}: {message}"


def environment_variable(name: str) -> str:
    """Returns the environment variable of a setting."""
    return f"DAMASKSADDLE_{name.upper()}"


def _to_settings(settings_input: SettingsInput) -> Settings:
    values = settings_input.model_dump()
    timing = {field.name: values.pop(field.name) for field in fields(Timing)}
    tls = {field.name: values.pop(field.name) for field in fields(TlsFiles)}
    for name in ("fleet_secret", "operator_token"):
        values[name] = values[name].get_secret_value()
    return Settings(**values, timing=Timing(**timing), tls=TlsFiles(**tls))
