"""The admin API for operators: documents, keys and the state of the fleet."""

import hmac
import json
import time
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import unquote

from aiohttp import hdrs, web

from damasksaddle.config import (
    MAX_DOCUMENT_BYTES,
    ServiceDocument,
    decode_document,
    load_document,
    undeclared_workspaces,
)
from damasksaddle.exceptions import (
    BadRequest,
    DocumentInvalid,
    KeyNotFound,
    KeyRejected,
    PlatformError,
    VersionConflict,
)
from damasksaddle.keys import make_key
from damasksaddle.utils import PARTITIONS, get_logger
from damasksaddle_node.entry import Entry
from damasksaddle_node.fleet.changes import ChangeAcceptance
from damasksaddle_node.fleet.log import FleetLog, RecordFactory
from damasksaddle_node.fleet.records import (
    DocumentApplied,
    FleetRecord,
    KeyGiven,
    KeyWithdrawn,
)
from damasksaddle_node.fleet.state import DocumentVersion, FleetState
from damasksaddle_node.http.problems import problem_middleware

log = get_logger("admin")

OPERATOR_HEADER = "X-Operator"
MAX_OPERATOR_LENGTH = 100
MAX_VERSION_DIGITS = 9


class AdminApi:
    """Request handlers of the admin API."""

    def __init__(
        self,
        fleet: FleetLog,
        changes: ChangeAcceptance,
        entry: Entry,
        token: str,
        dump: Callable[[], dict[str, Any]],
    ) -> None:
        self._fleet = fleet
        self._changes = changes
        self._entry = entry
        self._token = token
        self._dump = dump

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes of the admin API."""
        return [
            web.get("/admin/documents", self.list_documents),
            web.get("/admin/documents/{service}", self.show_document),
            web.get("/admin/documents/{service}/history", self.list_versions),
            web.put("/admin/documents/{service}", self.apply_document),
            web.get("/admin/keys", self.list_keys),
            web.post("/admin/keys", self.give_key),
            web.delete("/admin/keys/{key_id}", self.withdraw_key),
            web.get("/admin/vms", self.list_vms),
            web.get("/admin/upstreams", self.list_upstreams),
            web.get("/admin/partitions", self.list_partitions),
            web.get("/admin/programs", self.list_programs),
            web.get(
                "/admin/programs/{workspace}/{program_id:.+}", self.explain_program
            ),
            web.get("/admin/dump", self.show_dump),
        ]

    @web.middleware
    async def require_operator(
        self,
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        """Rejects requests without the operator token."""
        _, _, token = request.headers.get(hdrs.AUTHORIZATION, "").partition(" ")
        if not self._token or not hmac.compare_digest(
            token.encode(), self._token.encode()
        ):
            raise KeyRejected("the operator token is missing or wrong")
        response = await handler(request)
        # The response may contain a new key.
        response.headers["Cache-Control"] = "no-store"
        return response

    async def list_documents(self, request: web.Request) -> web.Response:
        documents = self._fleet.state.documents.items()
        return web.json_response(
            [_version_summary(service, version) for service, version in documents]
        )

    async def show_document(self, request: web.Request) -> web.Response:
        service = request.match_info["service"]
        versions = self._fleet.state.history.get(service, [])
        requested_version = request.query.get("version")
        for version in versions if requested_version else versions[-1:]:
            if not requested_version or str(version.version) == requested_version:
                body = {**_version_summary(service, version), "text": version.text}
                return web.json_response(body)
        return _error_response(
            404, "document_not_found", f"there is no document {service}"
        )

    async def list_versions(self, request: web.Request) -> web.Response:
        service = request.match_info["service"]
        versions = self._fleet.state.history.get(service, [])
        return web.json_response(
            [_version_summary(service, version) for version in versions]
        )

    async def apply_document(self, request: web.Request) -> web.Response:
        service = request.match_info["service"]
        data = await request.read()
        operator = _operator_name(request)
        expected = _parse_version(request.query.get("expected_version"))
        response_fields: dict[str, Any] = {"service": service}

        def build_record(state: FleetState) -> FleetRecord:
            text = decode_document(data)
            document = load_document(text)
            if document.service != service:
                raise DocumentInvalid(
                    [f"line 1: service: the document is for {document.service}"]
                )
            current = state.documents.get(service)
            version = current.version if current else 0
            if expected is not None and expected != version:
                raise VersionConflict(service, expected, version)
            _check_workspaces(state, document)
            response_fields["version"] = version + 1
            return DocumentApplied(
                service, version + 1, text, operator, int(time.time()), document
            )

        return await self._append_change(build_record, response_fields)

    async def _append_change(
        self, build_record: RecordFactory, extra: dict[str, Any] | None = None
    ) -> web.Response:
        try:
            position = await self._fleet.append(build_record)
        except DocumentInvalid as error:
            return _error_response(422, "document_invalid", str(error), error.problems)
        except VersionConflict as error:
            return _error_response(
                409, "version_conflict", str(error), in_force=error.in_force
            )
        except KeyNotFound as error:
            return _error_response(404, "key_not_found", str(error))
        except PlatformError as error:
            return _error_response(
                503, "not_recorded", f"nothing was recorded: {error}"
            )
        unconfirmed = await self._changes.confirm(position)
        body = {
            "position": position,
            "accepted": unconfirmed is None,
            "not_confirmed_by": unconfirmed or [],
            **(extra or {}),
        }
        return web.json_response(body, status=200 if unconfirmed is None else 202)

    async def list_keys(self, request: web.Request) -> web.Response:
        workspace = request.query.get("workspace", "")
        return web.json_response(
            [
                {
                    "key_id": key.key_id,
                    "workspace": key.workspace,
                    "given_at_unix_s": key.given_at_unix_s,
                    "withdrawn_at_unix_s": key.withdrawn_at_unix_s,
                }
                for key in self._fleet.state.keys.values()
                if workspace in ("", key.workspace)
            ]
        )

    async def give_key(self, request: web.Request) -> web.Response:
        workspace = await _requested_workspace(request)
        operator = _operator_name(request)
        key = make_key()

        def build_record(state: FleetState) -> FleetRecord:
            if state.workspace(workspace) is None:
                raise KeyNotFound(f"no document declares workspace {workspace!r}")
            return KeyGiven(
                key.key_id, workspace, key.digest, operator, int(time.time())
            )

        response_fields = {
            "key": key.text,
            "key_id": key.key_id,
            "workspace": workspace,
        }
        return await self._append_change(build_record, response_fields)

    async def withdraw_key(self, request: web.Request) -> web.Response:
        key_id = request.match_info["key_id"]
        operator = _operator_name(request)

        def build_record(state: FleetState) -> FleetRecord:
            if key_id not in state.keys:
                raise KeyNotFound(f"there is no key {key_id}")
            return KeyWithdrawn(key_id, operator, int(time.time()))

        return await self._append_change(build_record, {"key_id": key_id})

    async def list_vms(self, request: web.Request) -> web.Response:
        state = self._fleet.state
        return web.json_response(
            [
                {
                    "vm": member.vm_id,
                    "failure_domain": member.failure_domain,
                    "http_url": member.http_url,
                    "peer_address": member.peer_address,
                    "leaving": member.leaving,
                }
                for member in state.members.values()
            ]
        )

    async def list_upstreams(self, request: web.Request) -> web.Response:
        state = self._fleet.state
        return web.json_response(
            [
                {
                    "service": service,
                    "pool": name,
                    "scheduler": state.owners.pool(f"{service}/{name}"),
                    **upstream.model_dump(),
                }
                for service, version in state.documents.items()
                for name, pool in version.document.pools.items()
                for upstream in pool.upstreams
            ]
        )

    async def list_partitions(self, request: web.Request) -> web.Response:
        owners = self._fleet.state.owners
        return web.json_response(
            [{"partition": n, "owner": owners.partition(n)} for n in range(PARTITIONS)]
        )

    async def list_programs(self, request: web.Request) -> web.Response:
        program_lists = await self._entry.list_programs(
            request.query.get("workspace", "")
        )
        programs = [item for part in program_lists for item in json.loads(part)]
        for program in programs:
            # The content of messages is not shown to operators.
            program.pop("messages", None)
        return web.json_response(programs)

    async def explain_program(self, request: web.Request) -> web.Response:
        body = await self._entry.query_as_operator(
            request.match_info["workspace"],
            request.match_info["program_id"],
            "explain",
        )
        return web.Response(body=body, content_type="application/json")

    async def show_dump(self, request: web.Request) -> web.Response:
        return web.json_response(self._dump())


def _version_summary(service: str, version: DocumentVersion) -> dict[str, Any]:
    return {
        "service": service,
        "version": version.version,
        "operator": version.operator,
        "at_unix_s": version.at_unix_s,
    }


def _operator_name(request: web.Request) -> str:
    """Returns the operator name to record with a change."""
    name = unquote(request.headers.get(OPERATOR_HEADER, ""))
    printable = "".join(c for c in name if c.isprintable())
    return printable[:MAX_OPERATOR_LENGTH] or "unknown"


def _parse_version(text: str | None) -> int | None:
    if text is None:
        return None
    if not text.isdecimal() or len(text) > MAX_VERSION_DIGITS:
        raise BadRequest("expected_version is not a version number")
    return int(text)


async def _requested_workspace(request: web.Request) -> str:
    try:
        return str((await request.json())["workspace"])
    except (ValueError, KeyError, TypeError) as error:
        raise BadRequest('the body must be {"workspace": NAME}') from error


def _check_workspaces(state: FleetState, document: ServiceDocument) -> None:
    """
    Raises `DocumentInvalid` if workspaces conflict with the other documents.

    A workspace has one rate, so only one document may declare it. A route may refer to
    workspaces of any document.
    """
    declared = {
        name: other
        for other, version in state.documents.items()
        if other != document.service
        for name in version.document.workspaces
    }
    problems = [
        f"line 1: workspaces: {name} is declared by {declared[name]}"
        for name in sorted(set(document.workspaces) & set(declared))
    ]
    problems += [
        f"line 1: routes.{route}: no document declares workspace {name!r}"
        for name, route in undeclared_workspaces(document).items()
        if name not in declared
    ]
    if problems:
        raise DocumentInvalid(problems)


def _error_response(
    status: int,
    code: str,
    detail: str,
    problems: list[str] | None = None,
    in_force: int | None = None,
) -> web.Response:
    body: dict[str, Any] = {
        "code": code,
        "detail": detail,
        "problems": problems or [],
    }
    if in_force is not None:
        body["in_force"] = in_force
    return web.json_response(body, status=status)


def admin_app(api: AdminApi) -> web.Application:
    """Returns the web application of the admin API."""
    app = web.Application(
        middlewares=[problem_middleware, api.require_operator],
        client_max_size=2 * MAX_DOCUMENT_BYTES,
    )
    app.add_routes(api.routes())
    return app
