"""
Parsing and validation of callers' requests: bodies, options and headers.

All input is validated here, before a call gets an id or an owner. A malformed request
can therefore be refused as not run, and no other module receives an invalid value.
"""

import json
import re
from typing import Annotated, Any, Literal, TypeVar

from aiohttp import hdrs, web
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from pydantic_core import from_json

from damasksaddle.exceptions import BadRequest
from damasksaddle.keys import PREFIX, parse_key
from damasksaddle_node.entry import CallerRequest

HEADER_PREFIX = "X-Damasksaddle-"
OPTIONS_FIELD = "damasksaddle"
# The protocol between nodes has 32-bit fields for these numbers.
MAX_DEADLINE_MS = 24 * 3600 * 1000
MAX_TOKENS = 1_000_000
MAX_BUDGET_MICROS = 10**15
PRINTABLE_ASCII = r"^[\x20-\x7e]*$"
# Rejected rather than ignored, because they change the meaning of the response.
UNSUPPORTED_PARAMETERS = (
    "audio",
    "function_call",
    "functions",
    "logprobs",
    "tool_choice",
    "tools",
)

_PRINTABLE_ASCII = re.compile(PRINTABLE_ASCII)
_KEY_PATTERN = re.compile(rf"{PREFIX}_[0-9a-f]+_[0-9a-f]{{32,}}".encode())

ModelT = TypeVar("ModelT", bound=BaseModel)
ShortText = Annotated[str, Field(max_length=255, pattern=PRINTABLE_ASCII)]


class CallOptions(BaseModel):
    """Options of a call, from headers or from the `damasksaddle` field of the body."""

    model_config = ConfigDict(extra="forbid", strict=True)

    program: ShortText = ""
    parent: ShortText = ""
    idempotency_key: ShortText = ""
    deadline_ms: Annotated[int, Field(ge=1, le=MAX_DEADLINE_MS)] | None = None
    budget: Annotated[int, Field(ge=0, le=MAX_BUDGET_MICROS)] | None = None
    sealed: Annotated[str, Field(pattern=PRINTABLE_ASCII)] = ""
    history: Literal["append", "full"] = "append"


class ChatMessage(BaseModel):
    """A chat message; unknown fields are passed on unchanged."""

    model_config = ConfigDict(extra="allow", strict=True)

    role: Annotated[str, Field(min_length=1, max_length=64)]
    content: str | list[dict[str, Any]] | None = None


TokenCount = Annotated[int, Field(ge=1, le=MAX_TOKENS)]


class ChatBody(BaseModel):
    """The fields of a chat completion request that the node reads."""

    model_config = ConfigDict(extra="allow", strict=True)

    model: str
    messages: Annotated[list[ChatMessage], Field(min_length=1)]
    stream: bool | None = None
    max_tokens: TokenCount | None = None
    max_completion_tokens: TokenCount | None = None
    n: Annotated[int, Field(ge=1, le=1)] | None = None


class ProgramBody(BaseModel):
    """The body of a request to start a program."""

    model_config = ConfigDict(extra="forbid", strict=True)

    program: ShortText = ""
    service: ShortText = ""
    budget: Annotated[int, Field(ge=0, le=MAX_BUDGET_MICROS)] | None = None


def parse_json_object(raw: bytes) -> dict[str, Any]:
    """Parses a JSON object; raises `BadRequest` if the bytes are not one."""
    try:
        body = from_json(raw, allow_inf_nan=False)
    except ValueError as error:
        raise BadRequest("the body is not JSON") from error
    if not isinstance(body, dict):
        raise BadRequest("the body is not a JSON object")
    return body


def validate_model(model: type[ModelT], values: Any, prefix: str = "") -> ModelT:
    """Validates values; raises `BadRequest` with the first validation error."""
    try:
        return model.model_validate(values)
    except ValidationError as error:
        # The error does not quote the value, because it may be a secret.
        first_error = error.errors(include_url=False, include_input=False)[0]
        location = ".".join(
            str(part) for part in (*prefix.split(), *first_error["loc"])
        )
        raise BadRequest(f"{location or 'the body'}: {first_error['msg']}") from error


def bearer_key(request: web.Request) -> str:
    """Returns the key in the `Authorization` header, or an empty string."""
    headers = request.headers.getall(hdrs.AUTHORIZATION, [])
    if len(headers) != 1 or not headers[0].isascii():
        return ""
    scheme, _, key = headers[0].partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def parse_options(request: web.Request, fields: Any = None) -> CallOptions:
    """Returns the options of a call; the body takes precedence over headers."""
    values: dict[str, Any] = {}
    for name in CallOptions.model_fields:
        text = request.headers.get(HEADER_PREFIX + name.replace("_", "-"), "")
        if text:
            is_number = name in ("deadline_ms", "budget")
            values[name] = _parse_number(name, text) if is_number else text
    standard_header = request.headers.get("Idempotency-Key", "")
    if standard_header:
        values.setdefault("idempotency_key", standard_header)
    if fields is not None:
        if not isinstance(fields, dict):
            raise BadRequest(f"{OPTIONS_FIELD} is not an object")
        values.update(fields)
    return validate_model(CallOptions, values, OPTIONS_FIELD)


def _parse_number(name: str, text: str) -> int:
    if not (text.isascii() and text.isdecimal() and len(text) <= 16):
        raise BadRequest(f"{name} is not a number")
    return int(text)


def parse_chat_call(request: web.Request, raw: bytes) -> tuple[CallerRequest, str]:
    """Parses a call to a model; returns it with the name of the model."""
    body = parse_json_object(raw)
    options = parse_options(request, body.pop(OPTIONS_FIELD, None))
    chat = validate_model(ChatBody, body)
    for name in UNSUPPORTED_PARAMETERS:
        if body.get(name):
            raise BadRequest(f"{name} is not supported")
    body.pop("stream", None)
    service, _, route = chat.model.partition("/")
    try:
        # The canonical form gives a retry the same digest, even if its JSON is
        # formatted differently.
        text = json.dumps(body, sort_keys=True)
    except (ValueError, RecursionError) as error:
        raise BadRequest("the body is not JSON") from error
    call = _build_call(
        request, options, service, route, text.encode(), chat.stream is True
    )
    return call, chat.model


def parse_plain_call(request: web.Request, raw: bytes) -> CallerRequest:
    """Parses a call to a plain service."""
    path = request.match_info
    content_type = request.headers.get(hdrs.CONTENT_TYPE, "application/octet-stream")
    if len(content_type) > 255 or not _PRINTABLE_ASCII.match(content_type):
        raise BadRequest("Content-Type is malformed")
    return _build_call(
        request,
        parse_options(request),
        path["service"],
        path["route"],
        raw,
        stream=False,
        content_type=content_type,
    )


def _build_call(
    request: web.Request,
    options: CallOptions,
    service: str,
    route: str,
    body: bytes,
    stream: bool,
    content_type: str = "application/json",
) -> CallerRequest:
    program_id = options.program
    if options.parent:
        program_id = f"{options.parent}/{program_id}"
    call = CallerRequest(
        key=bearer_key(request),
        service=service,
        route=route,
        body=body,
        content_type=content_type,
        program_id=program_id,
        idempotency_key=options.idempotency_key,
        budget_micros=-1 if options.budget is None else options.budget,
        timeout_ms=options.deadline_ms or 0,
        stream=stream,
        sealed=options.sealed,
        history_mode=options.history,
    )
    reject_workspace_keys(
        call.key, body, program_id, options.idempotency_key, content_type, service
    )
    return call


def reject_workspace_keys(key: str, body: bytes, *texts: str) -> None:
    """
    Raises `BadRequest` if data that is passed on contains a workspace key.

    Bodies and names reach upstreams and the table exactly as callers sent them.
    """
    parts = parse_key(key)
    secret = parts[1].encode() if parts else b""
    candidates = [body, *(text.encode(errors="replace") for text in texts)]
    if b"\\u00" in body:
        candidates.append(_without_json_escapes(body))
    for data in candidates:
        if _KEY_PATTERN.search(data) or (len(secret) >= 32 and secret in data):
            raise BadRequest(
                "the request contains a workspace key outside its Authorization header"
            )


def _without_json_escapes(body: bytes) -> bytes:
    try:
        return json.dumps(from_json(body)).encode()
    except (ValueError, RecursionError):
        return b""
