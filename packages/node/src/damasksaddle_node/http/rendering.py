"""Rendering of call outcomes in the formats of the OpenAI API."""

import json
import time
from typing import Any

from aiohttp import hdrs, web

from damasksaddle.exceptions import Refusal
from damasksaddle_node.http.parsing import HEADER_PREFIX, OPTIONS_FIELD
from damasksaddle_node.http.problems import problem_body
from damasksaddle_node.programs.records import CallOutcome

# Clients reject long header lines; a common limit is 8 KiB.
MAX_SEALED_HEADER_BYTES = 6 * 1024


def completion_body(outcome: CallOutcome, model: str) -> dict[str, Any]:
    """Returns the response body of a chat completion that is not streamed."""
    answer = json.loads(outcome.body)
    return {
        "id": outcome.call_id,
        "object": "chat.completion",
        "created": int(time.time()),
        "model": model,
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": answer["text"]},
                "finish_reason": answer["finish_reason"],
            }
        ],
        "usage": token_usage(outcome),
        OPTIONS_FIELD: call_details(outcome),
    }


def token_usage(outcome: CallOutcome) -> dict[str, int]:
    """Returns the token counts of a call."""
    return {
        "prompt_tokens": outcome.prompt_tokens,
        "completion_tokens": outcome.output_tokens,
        "total_tokens": outcome.prompt_tokens + outcome.output_tokens,
    }


def call_details(outcome: CallOutcome) -> dict[str, Any]:
    """Returns the fields that damasksaddle adds to a completion."""
    return {
        "program": outcome.program_id,
        "upstream": outcome.upstream,
        "owner": outcome.trace.owner_vm,
        "charge_micros": outcome.charge_micros,
        "durable": outcome.durable,
        "sealed": outcome.sealed,
        "replayed": outcome.replayed,
        "total_ms": outcome.trace.total_ms,
    }


def add_call_headers(
    response: web.Response, outcome: CallOutcome, include_sealed: bool = True
) -> web.Response:
    """Adds the headers that describe a call, which are the same for all routes."""
    headers = response.headers
    headers[HEADER_PREFIX + "Call"] = outcome.call_id
    headers[HEADER_PREFIX + "Program"] = outcome.program_id
    headers[HEADER_PREFIX + "Charge-Micros"] = str(outcome.charge_micros)
    headers[HEADER_PREFIX + "Durable"] = str(outcome.durable).lower()
    if outcome.replayed:
        headers[HEADER_PREFIX + "Replayed"] = "true"
    if include_sealed and 0 < len(outcome.sealed) <= MAX_SEALED_HEADER_BYTES:
        headers[HEADER_PREFIX + "Sealed"] = outcome.sealed
    return response


def plain_response(outcome: CallOutcome) -> web.Response:
    """Returns the response of a plain service unchanged."""
    response = web.Response(
        body=outcome.body_bytes(),
        status=outcome.http_status,
        headers={hdrs.CONTENT_TYPE: outcome.content_type},
    )
    return add_call_headers(response, outcome)


class CompletionEvents:
    """
    Formats the server-sent events of one streamed completion.

    Only the text differs between the chunks of a call; the rest is formatted once.
    """

    def __init__(self, call_id: str, model: str) -> None:
        self._base = {
            "id": call_id,
            "object": "chat.completion.chunk",
            "created": int(time.time()),
            "model": model,
        }
        prefix = json.dumps(self._base)[:-1]
        self._prefix = f'data: {prefix}, "choices": [{{"index": 0, "delta": '.encode()
        self._suffix = b', "finish_reason": null}]}\n\n'
        self._role_field = '"role": "assistant", '

    def chunk(self, text: str) -> bytes:
        """Returns the event for one chunk of output."""
        delta = f'{{{self._role_field}"content": {json.dumps(text)}}}'
        self._role_field = ""
        return self._prefix + delta.encode() + self._suffix

    def end(self, outcome: CallOutcome) -> bytes:
        """Returns the last events of a call that completed."""
        answer = json.loads(outcome.body)
        # A replayed answer was not streamed in chunks, so its text is sent here.
        delta = {"content": answer["text"]} if outcome.replayed else {}
        if self._role_field:
            delta["role"] = "assistant"
        chunk = {
            **self._base,
            "choices": [
                {"index": 0, "delta": delta, "finish_reason": answer["finish_reason"]}
            ],
            "usage": token_usage(outcome),
            OPTIONS_FIELD: call_details(outcome),
        }
        return f"data: {json.dumps(chunk)}\n\ndata: [DONE]\n\n".encode()

    @staticmethod
    def failure(error: Refusal) -> bytes:
        """Returns the last event of a call that failed after the response had begun."""
        return f"event: error\ndata: {json.dumps(problem_body(error))}\n\n".encode()
