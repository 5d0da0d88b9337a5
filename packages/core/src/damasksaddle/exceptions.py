"""
Exceptions of damasksaddle.

A `Refusal` is returned to a caller; it carries the HTTP status, whether the call ran,
and when to retry. The other exceptions are for operators and internal components and
are never returned to a caller directly.
"""

from collections.abc import Sequence
from enum import StrEnum
from typing import Any


class NotRun(StrEnum):
    """Whether a refused call certainly did not run."""

    YES = "true"
    NO = "false"
    UNKNOWN = "unknown"


class DamasksaddleError(Exception):
    """Base class of all exceptions of this project."""


class Refusal(DamasksaddleError):
    """
    A call that gets an error response.

    `code` identifies the error in the API and in the protocol between nodes, and
    `retry_after_s` is set if a retry can succeed. `not_run` refers to the refused
    request; the entry VM sets `call_id` and `program_id`, by which the request can be
    looked up.
    """

    code = "refused"
    status = 500
    title = "The request was refused."
    not_run = NotRun.YES
    call_id = ""
    program_id = ""

    def __init__(
        self,
        detail: str = "",
        *,
        not_run: NotRun | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(detail or self.title)
        self.detail = detail or self.title
        self.retry_after_s = retry_after_s
        if not_run is not None:
            self.not_run = not_run


class BadRequest(Refusal):
    code = "bad_request"
    status = 400
    title = "The request is malformed."


class KeyRejected(Refusal):
    code = "key_rejected"
    status = 401
    title = "The workspace key is missing, unknown or withdrawn."


class RouteForbidden(Refusal):
    code = "route_forbidden"
    status = 403
    title = "The workspace may not use this route."


class RouteNotFound(Refusal):
    code = "route_not_found"
    status = 404
    title = "No service document defines this route."


class TurnNotFound(Refusal):
    code = "turn_not_found"
    status = 404
    title = "The workspace has no turn of this id."


class ProgramNotFound(Refusal):
    code = "program_not_found"
    status = 404
    title = "The workspace has no such program."


class CallNotFound(Refusal):
    """No record of the call remains, which does not prove that it did not run."""

    code = "call_not_found"
    status = 404
    title = "The workspace has no record of such a call."
    not_run = NotRun.UNKNOWN


class ProgramEnded(Refusal):
    code = "program_ended"
    status = 409
    title = "The program has ended."


class ProgramExists(Refusal):
    code = "program_exists"
    status = 409
    title = "The workspace has a program of this name with another budget."


class HistoryMismatch(Refusal):
    code = "history_mismatch"
    status = 409
    title = "The messages do not extend the program's history."


class IdempotencyMismatch(Refusal):
    code = "idempotency_mismatch"
    status = 422
    title = "The idempotency key was used with another body."


class BodyTooLarge(Refusal):
    code = "body_too_large"
    status = 413
    title = "The request body is too large."


class BodyTimeout(Refusal):
    code = "body_timeout"
    status = 408
    title = "The request's body did not arrive in time."


class MemoryExceeded(Refusal):
    code = "memory_exceeded"
    status = 503
    title = "This VM has no memory for the request at present."


class HeadersTooLarge(Refusal):
    code = "headers_too_large"
    status = 431
    title = "The request's headers are too large."


class BudgetExceeded(Refusal):
    code = "budget_exceeded"
    status = 402
    title = "The program's budget does not cover this call."


class TurnsExceeded(Refusal):
    code = "turns_exceeded"
    status = 409
    title = "The program has used all of its turns."


class HistoryTooLarge(Refusal):
    code = "history_too_large"
    status = 413
    title = "The program's history is too large."


class RateExceeded(Refusal):
    code = "rate_exceeded"
    status = 429
    title = "The workspace is above its rate."


class DeadlineExceeded(Refusal):
    code = "deadline_exceeded"
    status = 504
    title = "The call's deadline passed."


class NotFresh(Refusal):
    code = "not_fresh"
    status = 503
    title = "This VM cannot verify that its keys and documents are current."


class LeaseLapsed(Refusal):
    code = "lease_lapsed"
    status = 503
    title = "This VM's lease has lapsed."


class NotOwner(Refusal):
    code = "not_owner"
    status = 503
    title = "Another VM owns this program now."


class EpochStale(NotOwner):
    code = "epoch_stale"
    title = "The sender has not applied the latest membership change."


class PartitionHeld(NotOwner):
    """Another VM holds the partition; `detail` is its id."""

    code = "partition_held"
    title = "Another VM still holds this partition."


class OwnerUnreachable(Refusal):
    code = "owner_unreachable"
    status = 503
    title = "The VM that owns this program cannot be reached."


class StoreUnavailable(Refusal):
    code = "store_unavailable"
    status = 503
    title = "The platform's store cannot record this call."


class HistoryUnavailable(Refusal):
    code = "history_unavailable"
    status = 503
    title = "The turns that this one continues from cannot be read at present."


class UpstreamUnavailable(Refusal):
    code = "upstream_unavailable"
    status = 503
    title = "No upstream is available for this call."


class RequestQuarantined(Refusal):
    code = "request_quarantined"
    status = 503
    title = "Upstreams crashed under this request, so it is not run for some time."


class StreamVersionUnknown(Refusal):
    code = "stream_version_unknown"
    status = 503
    title = "No VM knows the software version at which the stream began."


class UpstreamFailed(Refusal):
    code = "upstream_failed"
    status = 502
    title = "The upstream failed while it ran the call."
    not_run = NotRun.NO


class OutcomeUnknown(Refusal):
    code = "fate_unknown"
    status = 502
    title = "It is unknown whether the call ran; it will not be retried."
    not_run = NotRun.UNKNOWN


class Stopping(Refusal):
    code = "stopping"
    status = 503
    title = "This VM is shutting down."


class SizeLimitExceeded(DamasksaddleError):
    """A received message is larger than this side accepts."""


class ConfigError(DamasksaddleError):
    """An invalid document, setting or configuration change."""


class DocumentInvalid(ConfigError):
    """A service document failed validation; `problems` has one message per problem."""

    def __init__(self, problems: list[str]) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems


class SettingsInvalid(ConfigError):
    """A flag, environment variable or settings file is invalid."""


class VersionConflict(ConfigError):
    """A change was based on a version that is no longer in force."""

    def __init__(self, name: str, expected: int, in_force: int) -> None:
        super().__init__(
            f"{name}: the change is based on version {expected}, "
            f"but version {in_force} is in force"
        )
        self.expected = expected
        self.in_force = in_force


class KeyNotFound(ConfigError):
    """No workspace key has this id."""


class AdminError(DamasksaddleError):
    """A failure reported by the operators' command line."""


class AdminUnreachable(AdminError):
    """No admin interface could be reached; nothing was changed."""


class AdminOutcomeUnknown(AdminError):
    """The response to a change was lost; the change may or may not be recorded."""


class AdminRefused(AdminError):
    """The admin interface refused a request; `problems` has one message per problem."""

    def __init__(
        self,
        code: str,
        detail: str,
        problems: list[str] | None = None,
        in_force: int | None = None,
    ) -> None:
        super().__init__(detail)
        self.code = code
        self.problems = problems or []
        self.in_force = in_force


class PlatformError(DamasksaddleError):
    """A failure of the platform's table, object store or VM list."""


class TableUnavailable(PlatformError):
    """The platform did not accept the request; nothing was written."""


class TableOverloaded(TableUnavailable):
    """The table rejected a request because it gets too many; nothing was written."""


class ResponseLost(PlatformError):
    """The table's response did not arrive; the write may have taken effect."""


class WriteConflict(PlatformError):
    """
    A conditional write found another version of the row.

    `rows` are the current rows, if the table returns them.
    """

    def __init__(self, detail: str = "", rows: Sequence[Any] = ()) -> None:
        super().__init__(detail)
        self.rows = rows


class ChangesExpired(PlatformError):
    """The table no longer has the requested changes; read the whole table instead."""


class ObjectNotFound(PlatformError):
    """The object does not exist in the object store."""


class MembershipChangePending(DamasksaddleError):
    """No further membership change is possible until a majority has the last one."""


class PeerError(DamasksaddleError):
    """A failure in the communication between two nodes."""


class PeerUnreachable(PeerError):
    """
    The connection to the peer failed or was closed.

    `sent` is False if the request was certainly not written to the connection.
    """

    def __init__(self, detail: str, *, sent: bool = True) -> None:
        super().__init__(detail)
        self.sent = sent


class PeerTimeout(PeerError):
    """The peer did not respond within the deadline."""


class PeerFailed(PeerError):
    """The peer did not handle the request, which may have taken effect in part."""


class PeerRejected(PeerError):
    """The peer failed to authenticate as a member of this fleet."""


class ProtocolViolation(PeerError):
    """A frame cannot be encoded or decoded, or is too large."""


class UpstreamError(DamasksaddleError):
    """
    A call to an upstream failed; `sent` is whether the call may have reached it.
    """

    def __init__(self, detail: str, *, sent: bool) -> None:
        super().__init__(detail)
        self.sent = sent


class OrderRefused(UpstreamError):
    """An engine refused an order because its fencing number is outdated."""

    def __init__(self, detail: str) -> None:
        super().__init__(detail, sent=True)


def _refusals_by_code(base: type[Refusal]) -> dict[str, type[Refusal]]:
    by_code = {base.code: base}
    for subclass in base.__subclasses__():
        by_code.update(_refusals_by_code(subclass))
    return by_code


def refusal_from_code(
    code: str, detail: str, not_run: str, retry_after_s: float | None
) -> Refusal:
    """
    Returns the refusal that another node reported.

    Raises `PeerFailed` if the node reported its own failure: that says nothing about
    the caller's request, and no caller may see it.
    """
    if code == Refusal.code:
        raise PeerFailed(detail)
    refusal_type = _refusals_by_code(Refusal).get(code, Refusal)
    return refusal_type(detail, not_run=NotRun(not_run), retry_after_s=retry_after_s)
