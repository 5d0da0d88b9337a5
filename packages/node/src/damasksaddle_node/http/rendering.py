"""Answers in the shapes that OpenAI-compatible clients read."""

import json
import time
from typing import Any

from aiohttp import hdrs, web

from damasksaddle.exceptions import Refusal
from damasksaddle_node.http.parsing import HEADER, OPTIONS
from damasksaddle_node.http.problems import problem
from damasksaddle_node.programs.records import CallOutcome

# Clients refuse responses with long header lines; many allow 8 KiB.
MAX_SEALED_HEADER = 6 * 1024


def completion(outcome: CallOutcome, model: str) -> dict[str, Any]:
    """Returns a whole chat completion."""
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
        "usage": usage(outcome),
        OPTIONS: details(outcome),
    }


def usage(outcome: CallOutcome) -> dict[str, int]:
    """Returns the tokens that a call used."""
    return {
        "prompt_tokens": outcome.prompt_tokens,
        "completion_tokens": outcome.output_tokens,
        "total_tokens": outcome.prompt_tokens + outcome.output_tokens,
    }


def details(outcome: CallOutcome) -> dict[str, Any]:
    """Returns what this system adds to a completion."""
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


def with_headers(
    response: web.Response, outcome: CallOutcome, sealed: bool = True
) -> web.Response:
    """Adds what callers of any route need to a response's headers."""
    headers = response.headers
    headers[HEADER + "Call"] = outcome.call_id
    headers[HEADER + "Program"] = outcome.program_id
    headers[HEADER + "Charge-Micros"] = str(outcome.charge_micros)
    headers[HEADER + "Durable"] = str(outcome.durable).lower()
    if outcome.replayed:
        headers[HEADER + "Replayed"] = "true"
    if sealed and 0 < len(outcome.sealed) <= MAX_SEALED_HEADER:
        headers[HEADER + "Sealed"] = outcome.sealed
    return response


def plain_response(outcome: CallOutcome) -> web.Response:
    """Returns the answer of a plain service as it came."""
    response = web.Response(
        body=outcome.body_bytes(),
        status=outcome.http_status,
        headers={hdrs.CONTENT_TYPE: outcome.content_type},
    )
    return with_headers(response, outcome)


class EventStream:
    """
    The server-sent events of one streamed completion.

    All but the text of a piece is the same for the whole call and is formatted once.
    """

    def __init__(self, call_id: str, model: str) -> None:
        self._chunk = {
            "id": call_id,
            "object": "chat.completion.chunk",
            "created": int(time.time()),
            "model": model,
        }
        head = json.dumps(self._chunk)[:-1]
        self._head = f'data: {head}, "choices": [{{"index": 0, "delta": '.encode()
        self._tail = b', "finish_reason": null}]}\n\n'
        self._role = '"role": "assistant", '

    def piece(self, text: str) -> bytes:
        """Returns the event of a piece of output."""
        delta = f'{{{self._role}"content": {json.dumps(text)}}}'
        self._role = ""
        return self._head + delta.encode() + self._tail

    def end(self, outcome: CallOutcome) -> bytes:
        """Returns the last events of a call that was answered."""
        answer = json.loads(outcome.body)
        # The pieces of an answer that is replayed were not streamed.
        delta = {"content": answer["text"]} if outcome.replayed else {}
        if self._role:
            delta["role"] = "assistant"
        chunk = {
            **self._chunk,
            "choices": [
                {"index": 0, "delta": delta, "finish_reason": answer["finish_reason"]}
            ],
            "usage": usage(outcome),
            OPTIONS: details(outcome),
        }
        return f"data: {json.dumps(chunk)}\n\ndata: [DONE]\n\n".encode()

    @staticmethod
    def failure(error: Refusal) -> bytes:
        """Returns the last event of a call that failed after it had begun."""
        return f"event: error\ndata: {json.dumps(problem(error))}\n\n".encode()
