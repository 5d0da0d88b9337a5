"""Records of the fleet log."""

from typing import Annotated, Literal

from pydantic import Field, TypeAdapter
from pydantic.dataclasses import dataclass

from damasksaddle.config import ServiceDocument


@dataclass(frozen=True, slots=True)
class VmJoined:
    """A VM joined the roster; `peer_address` is `host:port`."""

    vm_id: str
    failure_domain: str
    peer_address: str
    http_url: str
    kind: Literal["vm_joined"] = "vm_joined"


@dataclass(frozen=True, slots=True)
class VmLeaving:
    """A VM in a graceful shutdown gave up all ownership; it is still a member."""

    vm_id: str
    kind: Literal["vm_leaving"] = "vm_leaving"


@dataclass(frozen=True, slots=True)
class VmLeft:
    """A VM left the roster at the end of a graceful shutdown."""

    vm_id: str
    kind: Literal["vm_left"] = "vm_left"


@dataclass(frozen=True, slots=True)
class VmRemoved:
    """A VM was removed because it failed; `by` is the watcher that removed it."""

    vm_id: str
    by: str
    kind: Literal["vm_removed"] = "vm_removed"


@dataclass(frozen=True, slots=True)
class DocumentApplied:
    """
    A version of a service document.

    `text` is the YAML source. `document` is the parsed form, which the VM that
    accepted the change has validated: loading it is much cheaper than parsing the
    YAML again.
    """

    service: str
    version: int
    text: str
    operator: str
    at_unix_s: int
    document: ServiceDocument | None = None
    kind: Literal["document_applied"] = "document_applied"


@dataclass(frozen=True, slots=True)
class KeyGiven:
    """A workspace key was given; only its digest is stored."""

    key_id: str
    workspace: str
    digest: str
    operator: str
    at_unix_s: int
    kind: Literal["key_given"] = "key_given"


@dataclass(frozen=True, slots=True)
class KeyWithdrawn:
    """A workspace key was withdrawn."""

    key_id: str
    operator: str
    at_unix_s: int
    kind: Literal["key_withdrawn"] = "key_withdrawn"


FleetRecord = Annotated[
    VmJoined
    | VmLeaving
    | VmLeft
    | VmRemoved
    | DocumentApplied
    | KeyGiven
    | KeyWithdrawn,
    Field(discriminator="kind"),
]
_RECORD_ADAPTER: TypeAdapter[FleetRecord] = TypeAdapter(FleetRecord)


def dump_record(record: FleetRecord) -> str:
    """Serializes a record to JSON."""
    return _RECORD_ADAPTER.dump_json(record).decode()


def load_record(text: str) -> FleetRecord:
    """Parses a record from JSON."""
    return _RECORD_ADAPTER.validate_json(text)
