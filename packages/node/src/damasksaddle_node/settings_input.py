"""
Settings as they come from flags and environment variables, checked at the border.

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


def _http_url(text: str) -> str:
    try:
        parts = urlsplit(text)
        good = parts.scheme in ("http", "https") and bool(parts.hostname)
        good = good and not (parts.query or parts.fragment) and parts.port != 0
    except ValueError:
        good = False
    if not good:
        raise ValueError("must be an HTTP URL, such as http://10.0.0.1:8080")
    return text.rstrip("/")


def _optional_http_url(text: str) -> str:
    return _http_url(text) if text else text


def _optional_address(text: str) -> str:
    if text:
        host, _, port = text.rpartition(":")
        if not host or not port.isdecimal() or not 0 < int(port) < 65536:
            raise ValueError("must be HOST:PORT")
    return text


def _long_enough(least: int) -> AfterValidator:
    def check(secret: SecretStr) -> SecretStr:
        text = secret.get_secret_value()
        if text and len(text) < least:
            raise ValueError(f"must have at least {least} characters")
        return secret

    return AfterValidator(check)


VmName = Annotated[str, Field(pattern=r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$")]
Host = Annotated[str, Field(min_length=1, pattern=r"^\S+$")]
ListenPort = Annotated[int, Field(ge=0, le=65535)]
Url = Annotated[str, AfterValidator(_http_url)]
OptionalUrl = Annotated[str, AfterValidator(_optional_http_url)]


class SettingsInput(BaseModel):
    """Settings of one node."""

    model_config = ConfigDict(extra="forbid", frozen=True, allow_inf_nan=False)

    # This VM.
    name: VmName = Field(description="Name of this VM, unique in the fleet.")
    failure_domain: VmName = Field(description="Failure domain of this VM.")
    http_host: Host = Field("127.0.0.1", description="Where callers connect to.")
    http_port: ListenPort = Field(0, description="0 picks a free port.")
    http_url: OptionalUrl = Field(
        "", description="URL that callers are told, if host and port do not give it."
    )
    peer_host: Host = Field("127.0.0.1", description="Where other nodes connect to.")
    peer_port: ListenPort = Field(0, description="0 picks a free port.")
    peer_address: Annotated[str, AfterValidator(_optional_address)] = Field(
        "", description="HOST:PORT that other nodes are told, if it differs."
    )
    admin_host: Host = Field("127.0.0.1", description="Where operators connect to.")
    admin_port: ListenPort = Field(0, description="0 picks a free port.")

    # Platform.
    table_url: Url = Field(description="The platform's table service.")
    objects_url: Url = Field(description="The platform's object store.")
    vm_list_url: Url = Field(description="The platform's list of VMs.")

    # Secrets.
    fleet_secret: Annotated[SecretStr, _long_enough(16)] = Field(
        description="Shared by all nodes of the fleet; at least 16 characters. Use "
        "the variable: a flag shows in lists of processes."
    )
    operator_token: Annotated[SecretStr, _long_enough(8)] = Field(
        SecretStr(""),
        description="Grants the operators' interface, which refuses everything if "
        "this is not set. Use the variable.",
    )

    # TLS.
    http_tls_cert: str = Field("", description="Certificate file for callers.")
    http_tls_key: str = Field("", description="Key file for callers.")
    admin_tls_cert: str = Field("", description="Certificate file for operators.")
    admin_tls_key: str = Field("", description="Key file for operators.")
    peer_tls_cert: str = Field("", description="Certificate file between nodes.")
    peer_tls_key: str = Field("", description="Key file between nodes.")
    peer_tls_ca: str = Field(
        "", description="CA file that both sides of a connection between nodes check."
    )
    outgoing_ca: str = Field(
        "", description="CA file for HTTPS to the platform and to upstreams."
    )

    # Limits.
    streams: Annotated[int, Field(ge=1, le=64)] = Field(
        4, description="Commit streams; the same on all nodes, for the fleet's life."
    )
    max_body_bytes: Annotated[int, Field(ge=1024, le=8 * 1024 * 1024 - 65536)] = Field(
        4 * 1024 * 1024,
        description="Largest request body; a frame between nodes holds 8 MiB.",
    )
    max_pending_bytes: Annotated[int, Field(ge=65536)] = Field(
        64 * 1024 * 1024,
        description="Records of a partition that may wait for the table.",
    )
    max_undurable_micros: Annotated[int, Field(ge=0)] = Field(
        1_000_000,
        description="Charges of a partition that may wait for the table, "
        "in millionths.",
    )

    # Times; they must be the same on all nodes.
    lease_s: Annotated[float, Field(ge=0.5, le=300)] = Field(
        6.0, description="How long a VM may act on one renewal of its lease."
    )
    freshness_s: Annotated[float, Field(ge=0.1, le=3)] = Field(
        3.0, description="How old the proof of freshness may be."
    )
    stream_grace_s: Annotated[float, Field(ge=0.1, le=4)] = Field(
        4.0, description="When a node that is not fresh ends open streams."
    )
    poll_s: Annotated[float, Field(ge=0.02, le=3)] = Field(
        1.0, description="Time between two reads of the fleet log."
    )
    commit_interval_s: Annotated[float, Field(ge=0.005, le=5)] = Field(
        0.05, description="Shortest time between two rows of a commit stream."
    )
    durable_wait_s: Annotated[float, Field(ge=0.01, le=30)] = Field(
        0.5, description="How long a response waits for its record to be durable."
    )
    peer_timeout_s: Annotated[float, Field(ge=0.05, le=60)] = Field(
        2.0, description="How long a request to a node or the platform may take."
    )
    connect_timeout_s: Annotated[float, Field(ge=0.05, le=60)] = Field(
        1.0, description="How long connecting to a node may take."
    )
    accept_wait_s: Annotated[float, Field(ge=0.1, le=3)] = Field(
        3.0, description="How long a change waits for a majority of the roster."
    )
    hold_s: Annotated[float, Field(ge=0, le=3600)] = Field(
        30.0, description="How long callers may keep an answer with addresses."
    )
    stop_timeout_s: Annotated[float, Field(ge=0, le=86_400)] = Field(
        600.0, description="Longest time that a planned stop takes."
    )
    order_timeout_s: Annotated[float, Field(ge=0.1, le=600)] = Field(
        10.0, description="Longest time that an order to an upstream can be on its way."
    )

    # Logs and metrics.
    metrics_host: Host = Field(
        "127.0.0.1", description="Address on which metrics are served."
    )
    metrics_port: Annotated[int, Field(ge=0, le=65535)] = Field(
        0, description="Port on which `/metrics` is served; 0 picks a free one."
    )
    log_level: Literal["debug", "info", "warning", "error"] = Field(
        "info", description="Least level that is logged."
    )

    @model_validator(mode="after")
    def _relations(self) -> "SettingsInput":
        for shorter, longer in _SHORTER:
            if not getattr(self, shorter) < getattr(self, longer):
                raise ValueError(
                    f"{_flag(shorter)} must be shorter than {_flag(longer)}"
                )
        for least, most in _NOT_LONGER:
            if getattr(self, least) > getattr(self, most):
                raise ValueError(f"{_flag(least)} must not exceed {_flag(most)}")
        if not self.fleet_secret.get_secret_value():
            raise ValueError("--fleet-secret or DAMASKSADDLE_FLEET_SECRET is not set")
        for kind, others in _TOGETHER.items():
            given = [bool(getattr(self, f"{kind}_tls_{part}")) for part in others]
            if any(given) and not all(given):
                names = ", ".join(_flag(f"{kind}_tls_{part}") for part in others)
                raise ValueError(f"{names} must be given together")
        for host, told in (("http_host", "http_url"), ("peer_host", "peer_address")):
            if _is_any_address(getattr(self, host)) and not getattr(self, told):
                raise ValueError(
                    f"{_flag(told)} is needed, because {_flag(host)} names no address "
                    "that others can connect to"
                )
        return self


# Freshness within the lease: a VM whose lease was taken must not still be fresh.
_SHORTER = (
    ("freshness_s", "lease_s"),
    ("poll_s", "freshness_s"),
    ("commit_interval_s", "durable_wait_s"),
)
# One platform request that times out must not cost the lease.
_NOT_LONGER = (
    ("freshness_s", "stream_grace_s"),
    ("connect_timeout_s", "peer_timeout_s"),
    ("peer_timeout_s", "lease_s"),
    ("hold_s", "stop_timeout_s"),
)
_TOGETHER = {
    "http": ("cert", "key"),
    "admin": ("cert", "key"),
    "peer": ("cert", "key", "ca"),
}


def _flag(name: str) -> str:
    return "--" + name.replace("_", "-")


SETTING_CONSTRAINTS = [
    *(f"`{_flag(a)}` is shorter than `{_flag(b)}`" for a, b in _SHORTER),
    *(f"`{_flag(a)}` does not exceed `{_flag(b)}`" for a, b in _NOT_LONGER),
]


def _is_any_address(host: str) -> bool:
    try:
        return ip_address(host).is_unspecified
    except ValueError:
        return False


def check_settings(options: dict[str, Any]) -> Settings:
    """
    Returns the settings in a mapping of options.

    Raises `SettingsInvalid` with one line; it never holds the value of a secret.
    """
    try:
        return _settings(SettingsInput(**options))
    except ValidationError as error:
        raise SettingsInvalid(_describe(error)) from None


def _describe(error: ValidationError) -> str:
    problem = error.errors(include_url=False, include_input=False)[0]
    message = problem["msg"].removeprefix("Value error, ")
    if not problem["loc"]:
        return message
    flag = _flag(str(problem["loc"][0]))
    if problem["type"] == "missing":
        return f"{flag} or {environment_variable(str(problem['loc'][0]))} is not set"
    return f"{flag}: {message}"


def environment_variable(name: str) -> str:
    """Returns the environment variable of a setting."""
    return f"DAMASKSADDLE_{name.upper()}"


def _settings(checked: SettingsInput) -> Settings:
    values = checked.model_dump()
    timing = {field.name: values.pop(field.name) for field in fields(Timing)}
    tls = {field.name: values.pop(field.name) for field in fields(TlsFiles)}
    for name in ("fleet_secret", "operator_token"):
        values[name] = values[name].get_secret_value()
    return Settings(**values, timing=Timing(**timing), tls=TlsFiles(**tls))
