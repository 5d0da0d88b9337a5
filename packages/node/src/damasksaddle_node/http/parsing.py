"""
Reads callers' requests: bodies, options and headers.

Everything is checked here, before a call gets an id or an owner, so that a malformed
request is refused as not run and no other part meets a value that does not fit.
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

HEADER = "X-Damasksaddle-"
OPTIONS = "damasksaddle"
# Numbers travel between nodes in 32 bits.
MAX_DEADLINE_MS = 24 * 3600 * 1000
MAX_TOKENS = 1_000_000
MAX_BUDGET_MICROS = 10**15
PRINTABLE = r"^[\x20-\x7e]*$"
# Parameters whose silent loss would change what the answer means.
UNSUPPORTED = (
    "audio",
    "function_call",
    "functions",
    "logprobs",
    "tool_choice",
    "tools",
)

_PRINTABLE = re.compile(PRINTABLE)
_KEY_SHAPE = re.compile(rf"{PREFIX}_[0-9a-f]+_[0-9a-f]{{32,}}".encode())

Model = TypeVar("Model", bound=BaseModel)
Text = Annotated[str, Field(max_length=255, pattern=PRINTABLE)]


class Options(BaseModel):
    """What a caller says about a call, in headers or under `damasksaddle`."""

    model_config = ConfigDict(extra="forbid", strict=True)

    program: Text = ""
    parent: Text = ""
    idempotency_key: Text = ""
    deadline_ms: Annotated[int, Field(ge=1, le=MAX_DEADLINE_MS)] | None = None
    budget: Annotated[int, Field(ge=0, le=MAX_BUDGET_MICROS)] | None = None
    sealed: Annotated[str, Field(pattern=PRINTABLE)] = ""
    history: Literal["append", "full"] = "append"


class Message(BaseModel):
    """A chat message; its other fields are passed on as they are."""

    model_config = ConfigDict(extra="allow", strict=True)

    role: Annotated[str, Field(min_length=1, max_length=64)]
    content: str | list[dict[str, Any]] | None = None


TokenCount = Annotated[int, Field(ge=1, le=MAX_TOKENS)]


class ChatBody(BaseModel):
    """The part of a chat completion's body that this system reads."""

    model_config = ConfigDict(extra="allow", strict=True)

    model: str
    messages: Annotated[list[Message], Field(min_length=1)]
    stream: bool | None = None
    max_tokens: TokenCount | None = None
    max_completion_tokens: TokenCount | None = None
    n: Annotated[int, Field(ge=1, le=1)] | None = None


class ProgramBody(BaseModel):
    """The body of a request that starts a program."""

    model_config = ConfigDict(extra="forbid", strict=True)

    program: Text = ""
    service: Text = ""
    budget: Annotated[int, Field(ge=0, le=MAX_BUDGET_MICROS)] | None = None


def json_object(raw: bytes) -> dict[str, Any]:
    """Returns the JSON object in some bytes; raises `BadRequest`."""
    try:
        body = from_json(raw, allow_inf_nan=False)
    except ValueError as error:
        raise BadRequest("the body is not JSON") from error
    if not isinstance(body, dict):
        raise BadRequest("the body is not a JSON object")
    return body


def checked(kind: type[Model], values: Any, where: str = "") -> Model:
    """Returns values as a model; raises `BadRequest` that names the first fault."""
    try:
        return kind.model_validate(values)
    except ValidationError as error:
        # The caller's value is left out: it may be a secret.
        first = error.errors(include_url=False, include_input=False)[0]
        place = ".".join(str(part) for part in (*where.split(), *first["loc"]))
        raise BadRequest(f"{place or 'the body'}: {first['msg']}") from error


def key_of(request: web.Request) -> str:
    """Returns the workspace key that came with a request, or an empty string."""
    headers = request.headers.getall(hdrs.AUTHORIZATION, [])
    if len(headers) != 1 or not headers[0].isascii():
        return ""
    scheme, _, key = headers[0].partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def options_of(request: web.Request, fields: Any = None) -> Options:
    """Returns a call's options; those in the body precede those in headers."""
    found: dict[str, Any] = {}
    for name in Options.model_fields:
        text = request.headers.get(HEADER + name.replace("_", "-"), "")
        if text:
            number = name in ("deadline_ms", "budget")
            found[name] = _number(name, text) if number else text
    plain = request.headers.get("Idempotency-Key", "")
    if plain:
        found.setdefault("idempotency_key", plain)
    if fields is not None:
        if not isinstance(fields, dict):
            raise BadRequest(f"{OPTIONS} is not an object")
        found.update(fields)
    return checked(Options, found, OPTIONS)


def _number(name: str, text: str) -> int:
    if not (text.isascii() and text.isdecimal() and len(text) <= 16):
        raise BadRequest(f"{name} is not a number")
    return int(text)


def chat_of(request: web.Request, raw: bytes) -> tuple[CallerRequest, str]:
    """Returns a model call and the name of its model; raises `BadRequest`."""
    body = json_object(raw)
    options = options_of(request, body.pop(OPTIONS, None))
    chat = checked(ChatBody, body)
    for name in UNSUPPORTED:
        if body.get(name):
            raise BadRequest(f"{name} is not supported")
    body.pop("stream", None)
    service, _, route = chat.model.partition("/")
    try:
        # One form for all spellings, so that a repeat has the same digest.
        text = json.dumps(body, sort_keys=True)
    except (ValueError, RecursionError) as error:
        raise BadRequest("the body is not JSON") from error
    call = _call(request, options, service, route, text.encode(), chat.stream is True)
    return call, chat.model


def plain_of(request: web.Request, raw: bytes) -> CallerRequest:
    """Returns a call to a plain service; raises `BadRequest`."""
    names = request.match_info
    content_type = request.headers.get(hdrs.CONTENT_TYPE, "application/octet-stream")
    if len(content_type) > 255 or not _PRINTABLE.match(content_type):
        raise BadRequest("Content-Type is malformed")
    return _call(
        request,
        options_of(request),
        names["service"],
        names["route"],
        raw,
        stream=False,
        content_type=content_type,
    )


def _call(
    request: web.Request,
    options: Options,
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
        key=key_of(request),
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
    refuse_keys(
        call.key, body, program_id, options.idempotency_key, content_type, service
    )
    return call


def refuse_keys(key: str, body: bytes, *texts: str) -> None:
    """
    Raises `BadRequest` if what is passed on contains a workspace key.

    Upstreams and the table see bodies and names as callers sent them.
    """
    parts = parse_key(key)
    secret = parts[1].encode() if parts else b""
    plain = [body, *(text.encode(errors="replace") for text in texts)]
    if b"\\u00" in body:
        plain.append(_without_escapes(body))
    for data in plain:
        if _KEY_SHAPE.search(data) or (len(secret) >= 32 and secret in data):
            raise BadRequest(
                "the request carries a workspace key outside of its header"
            )


def _without_escapes(body: bytes) -> bytes:
    try:
        return json.dumps(from_json(body)).encode()
    except (ValueError, RecursionError):
        return b""
