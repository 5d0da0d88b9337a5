"""The fleet's state: a fold of the fleet log that is the same on every node."""

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

# Versions of a document that a node keeps in memory; all stay in the fleet log.
HISTORY_KEPT = 20


@dataclass(slots=True)
class Member:
    """A VM of the roster; one that is leaving owns nothing."""

    vm_id: str
    failure_domain: str
    peer_address: str
    http_url: str
    leaving: bool = False

    @property
    def name(self) -> str:
        """The VM's name, without the part that changes with each start."""
        return self.vm_id.rpartition("-")[0]


@dataclass(frozen=True, slots=True)
class DocumentVersion:
    """A document with its version and origin."""

    version: int
    text: str
    operator: str
    at_unix_s: int
    document: ServiceDocument


@dataclass(slots=True)
class WorkspaceKey:
    """A workspace key as it is stored."""

    key_id: str
    workspace: str
    digest: str
    given_at_unix_s: int
    withdrawn_at_unix_s: int | None = None


@dataclass(slots=True)
class FleetState:
    """
    The roster, documents and keys at a position of the fleet log.

    `cursor` is the last applied position; `epoch` is the position of the last
    change of the roster and serves as fencing number.
    """

    cursor: int = 0
    epoch: int = 0
    members: dict[str, Member] = field(default_factory=dict)
    documents: dict[str, DocumentVersion] = field(default_factory=dict)
    history: dict[str, list[DocumentVersion]] = field(default_factory=dict)
    keys: dict[str, WorkspaceKey] = field(default_factory=dict)
    owners: Owners = field(default_factory=Owners)

    def apply(self, position: int, record: FleetRecord) -> None:
        """Applies the record at the position that follows the cursor."""
        match record:
            case VmJoined():
                self._drop_earlier_start(record.vm_id)
                self.members[record.vm_id] = Member(
                    record.vm_id,
                    record.failure_domain,
                    record.peer_address,
                    record.http_url,
                )
                self._roster_changed(position)
            case VmLeaving():
                member = self.members.get(record.vm_id)
                if member is not None:
                    member.leaving = True
                    self._roster_changed(position)
            case VmLeft() | VmRemoved():
                if self.members.pop(record.vm_id, None) is not None:
                    self._roster_changed(position)
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

    def _drop_earlier_start(self, vm_id: str) -> None:
        # Both starts listen on the same addresses, so the earlier one is dead.
        name = vm_id.rpartition("-")[0]
        for member in list(self.members.values()):
            if member.name == name:
                del self.members[member.vm_id]

    def _roster_changed(self, position: int) -> None:
        self.epoch = position
        staying = [v for v, member in self.members.items() if not member.leaving]
        # The last VMs of a fleet that is shut down keep what they own until they
        # have left, so that their records still become durable.
        self.owners = Owners(staying or self.members)

    def _apply_document(self, record: DocumentApplied) -> None:
        in_force = self.documents.get(record.service)
        if in_force is not None and record.version <= in_force.version:
            return
        version = DocumentVersion(
            record.version,
            record.text,
            record.operator,
            record.at_unix_s,
            record.document or load_document(record.text, recorded=True),
        )
        self.documents[record.service] = version
        kept = self.history.setdefault(record.service, [])
        kept.append(version)
        del kept[:-HISTORY_KEPT]

    def records(self) -> list[FleetRecord]:
        """Returns records that fold into this state, apart from cursor and epoch."""
        members = self.members.values()
        found: list[FleetRecord] = [
            VmJoined(m.vm_id, m.failure_domain, m.peer_address, m.http_url)
            for m in members
        ]
        found += [VmLeaving(member.vm_id) for member in members if member.leaving]
        for service, versions in self.history.items():
            found += [
                DocumentApplied(
                    service, v.version, v.text, v.operator, v.at_unix_s, v.document
                )
                for v in versions
            ]
        for key in self.keys.values():
            found.append(
                KeyGiven(key.key_id, key.workspace, key.digest, "", key.given_at_unix_s)
            )
            if key.withdrawn_at_unix_s is not None:
                found.append(KeyWithdrawn(key.key_id, "", key.withdrawn_at_unix_s))
        return found

    def document(self, service: str) -> ServiceDocument | None:
        """Returns the document in force of a service."""
        version = self.documents.get(service)
        return version.document if version else None

    def route(self, service: str, route: str) -> Route | None:
        """Returns a route of a service."""
        document = self.document(service)
        return document.routes.get(route) if document else None

    def workspace(self, name: str) -> Workspace | None:
        """Returns the limits of a workspace, which one document declares."""
        for version in self.documents.values():
            limits = version.document.workspaces.get(name)
            if limits is not None:
                return limits
        return None

    def key_is_valid(self, key_id: str) -> bool:
        """Tells whether a key was given and not withdrawn."""
        key = self.keys.get(key_id)
        return key is not None and key.withdrawn_at_unix_s is None

    def majority(self) -> int:
        """Returns how many members make a majority of the roster."""
        return len(self.members) // 2 + 1
