"""The state of the fleet, computed from the fleet log identically on every node."""

from dataclasses import dataclass, field

from damasksaddle.config import Route, ServiceDocument, Workspace, load_document
from damasksaddle_node.fleet.ownership import Owners
from damasksaddle_node.fleet.records import (
    DocumentApplied,
    FleetRecord,
    KeyGiven,
    KeyWithdrawn,
    VmJoined,
    VmLeaving,
    VmLeft,
    VmRemoved,
)

# Versions of a document that a node keeps in memory; the fleet log keeps all of them.
MAX_DOCUMENT_VERSIONS = 20


@dataclass(slots=True)
class Member:
    """A VM of the roster; a leaving member owns nothing if others remain."""

    vm_id: str
    failure_domain: str
    peer_address: str
    http_url: str
    leaving: bool = False

    @property
    def name(self) -> str:
        """The VM's name: its id without the part that changes at each start."""
        return self.vm_id.rpartition("-")[0]


@dataclass(frozen=True, slots=True)
class DocumentVersion:
    """A version of a document, with who applied it and when."""

    version: int
    text: str
    operator: str
    at_unix_s: int
    document: ServiceDocument


@dataclass(slots=True)
class WorkspaceKey:
    """A workspace key; only its digest is stored."""

    key_id: str
    workspace: str
    digest: str
    given_at_unix_s: int
    withdrawn_at_unix_s: int | None = None


@dataclass(slots=True)
class FleetState:
    """
    The roster, documents and keys at a position of the fleet log.

    `cursor` is the last applied position. `epoch` is the position of the last change
    of the roster; it serves as the fencing number.
    """

    cursor: int = 0
    epoch: int = 0
    members: dict[str, Member] = field(default_factory=dict)
    documents: dict[str, DocumentVersion] = field(default_factory=dict)
    history: dict[str, list[DocumentVersion]] = field(default_factory=dict)
    keys: dict[str, WorkspaceKey] = field(default_factory=dict)
    owners: Owners = field(default_factory=Owners)

    def apply(self, position: int, record: FleetRecord) -> None:
        """Applies a record and sets the cursor to its position."""
        match record:
            case VmJoined():
                self._remove_previous_start(record.vm_id)
                self.members[record.vm_id] = Member(
                    record.vm_id,
                    record.failure_domain,
                    record.peer_address,
                    record.http_url,
                )
                self._on_roster_change(position)
            case VmLeaving():
                member = self.members.get(record.vm_id)
                if member is not None:
                    member.leaving = True
                    self._on_roster_change(position)
            case VmLeft() | VmRemoved():
                if self.members.pop(record.vm_id, None) is not None:
                    self._on_roster_change(position)
            case DocumentApplied():
                self._apply_document(record)
            case KeyGiven():
                self.keys[record.key_id] = WorkspaceKey(
                    record.key_id, record.workspace, record.digest, record.at_unix_s
                )
            case KeyWithdrawn():
                key = self.keys.get(record.key_id)
                if key is not None and key.withdrawn_at_unix_s is None:
                    key.withdrawn_at_unix_s = record.at_unix_s
        self.cursor = position

    def _remove_previous_start(self, vm_id: str) -> None:
        # Both processes use the same addresses, so the earlier one has ended.
        name = vm_id.rpartition("-")[0]
        for member in list(self.members.values()):
            if member.name == name:
                del self.members[member.vm_id]

    def _on_roster_change(self, position: int) -> None:
        self.epoch = position
        remaining = [
            vm_id for vm_id, member in self.members.items() if not member.leaving
        ]
        # If all members are leaving, they keep ownership until they have left, so that
        # their remaining records still become durable.
        self.owners = Owners(remaining or self.members)

    def _apply_document(self, record: DocumentApplied) -> None:
        current = self.documents.get(record.service)
        if current is not None and record.version <= current.version:
            return
        version = DocumentVersion(
            record.version,
            record.text,
            record.operator,
            record.at_unix_s,
            record.document or load_document(record.text, recorded=True),
        )
        self.documents[record.service] = version
        history = self.history.setdefault(record.service, [])
        history.append(version)
        del history[:-MAX_DOCUMENT_VERSIONS]

    def records(self) -> list[FleetRecord]:
        """Returns records that reproduce this state, except for cursor and epoch."""
        members = self.members.values()
        records: list[FleetRecord] = [
            VmJoined(
                member.vm_id,
                member.failure_domain,
                member.peer_address,
                member.http_url,
            )
            for member in members
        ]
        records += [VmLeaving(member.vm_id) for member in members if member.leaving]
        for service, versions in self.history.items():
            records += [
                DocumentApplied(
                    service,
                    version.version,
                    version.text,
                    version.operator,
                    version.at_unix_s,
                    version.document,
                )
                for version in versions
            ]
        for key in self.keys.values():
            records.append(
                KeyGiven(key.key_id, key.workspace, key.digest, "", key.given_at_unix_s)
            )
            if key.withdrawn_at_unix_s is not None:
                records.append(KeyWithdrawn(key.key_id, "", key.withdrawn_at_unix_s))
        return records

    def document(self, service: str) -> ServiceDocument | None:
        """Returns the current document of a service."""
        version = self.documents.get(service)
        return version.document if version else None

    def route(self, service: str, route: str) -> Route | None:
        """Returns a route of a service."""
        document = self.document(service)
        return document.routes.get(route) if document else None

    def workspace(self, name: str) -> Workspace | None:
        """Returns the limits of a workspace from the document that declares it."""
        for version in self.documents.values():
            limits = version.document.workspaces.get(name)
            if limits is not None:
                return limits
        return None

    def key_is_valid(self, key_id: str) -> bool:
        """Returns whether a key was given and has not been withdrawn."""
        key = self.keys.get(key_id)
        return key is not None and key.withdrawn_at_unix_s is None

    def majority(self) -> int:
        """Returns the number of members that form a majority of the roster."""
        return len(self.members) // 2 + 1
