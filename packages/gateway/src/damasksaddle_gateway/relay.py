"""
Relays an upstream's response to the caller.

Plain responses are buffered first, so that another upstream can be tried if one is
incomplete. Streams are relayed event by event; an interrupted stream is never
terminated as if it were complete.
"""

from aiohttp import hdrs, web

from damasksaddle.exceptions import OutcomeUnknown, SizeLimitExceeded
from damasksaddle.utils import Counter, count, get_logger
from damasksaddle.utils.connections import Memory, close_after
from damasksaddle_gateway.calls import Call
from damasksaddle_gateway.events import EventOutOfOrder
from damasksaddle_gateway.histories.recorder import TurnRecorder
from damasksaddle_gateway.interfaces import HeaderCodec
from damasksaddle_gateway.memory.responses import (
    BufferedResponse,
    response_holder,
    write_ahead,
)
from damasksaddle_gateway.not_run_statuses import promises_not_run
from damasksaddle_gateway.stream_versions import StreamVersions
from damasksaddle_gateway.upstreams import (
    ResponseInterrupted,
    RunUnknown,
    UpstreamResponse,
)

log = get_logger("relay")


class ResponseRelay:
    """Writes upstream responses to callers."""

    def __init__(self, codec: HeaderCodec, stream_versions: StreamVersions) -> None:
        self._codec = codec
        self._stream_versions = stream_versions

    async def send_buffered(
        self, call: Call, upstream_response: UpstreamResponse
    ) -> web.StreamResponse:
        """
        Returns a complete response; raises `RunUnknown` if its status may be untrue.
        """
        body = await upstream_response.body(response_holder(call))
        if promises_not_run(call, upstream_response.status):
            raise RunUnknown(upstream_response.status)
        if call.response is not None:
            raise OutcomeUnknown("the upstream refused to resume the stream")
        headers = self._codec.response_headers(upstream_response.headers)
        return BufferedResponse(upstream_response.status, headers, body)

    async def stream_events(
        self, request: web.BaseRequest, call: Call, upstream_response: UpstreamResponse
    ) -> web.StreamResponse:
        """
        Passes on the events of a stream, and its end unless the turn is stored first.
        """
        call.events.reset()
        if call.response is not None:
            _check_continues(call.response, upstream_response)
        engine = call.service.engine
        tokens_per_event = engine.tokens_per_event if engine else 0
        async for chunk in upstream_response.chunks():
            events = self._split(call, chunk)
            if events and call.times is not None:
                call.times.record_events(len(events))
            permitted = self._use_tokens(call, len(events), tokens_per_event)
            if permitted:
                response = await self._start_stream(request, call, upstream_response)
                if call.recorder is not None:
                    # Before the write, which may fail after the caller got them.
                    await _record(call, call.recorder, events[:permitted])
                # One write: a write for each of thousands of events blocks others.
                await write_ahead(response, call, b"".join(events[:permitted]))
            if permitted < len(events):
                raise OutcomeUnknown("the turn generated more tokens than it reserved")
            if call.events.last_id:
                call.last_event_id = call.events.last_id
        if call.events.has_partial_event:
            raise ResponseInterrupted("the stream ended inside an event")
        response = await self._start_stream(request, call, upstream_response)
        if call.recorder is None:
            await response.write_eof()
        return response

    @staticmethod
    async def end_turn(call: Call, recorder: TurnRecorder) -> None:
        """Ends the response of a stored turn, which `stream_events` leaves open."""
        assert call.response is not None
        await call.response.write_eof()
        recorder.is_ended = True

    @staticmethod
    def _use_tokens(call: Call, events: int, tokens_per_event: int) -> int:
        """Records the tokens of events and returns how many events may be sent."""
        if call.reservation is not None and tokens_per_event:
            left_tokens = max(call.reservation.tokens - call.tokens_used, 0)
            events = min(events, left_tokens // tokens_per_event)
        call.tokens_used += events * tokens_per_event
        return events

    @staticmethod
    def _split(call: Call, chunk: bytes) -> list[bytes]:
        try:
            return call.events.feed(chunk)
        except (EventOutOfOrder, SizeLimitExceeded) as error:
            raise ResponseInterrupted(str(error)) from error

    async def _start_stream(
        self, request: web.BaseRequest, call: Call, upstream_response: UpstreamResponse
    ) -> web.StreamResponse:
        if call.response is None:
            self._stream_versions.record_start(call, upstream_response.upstream)
            headers = self._codec.response_headers(upstream_response.headers)
            response = web.StreamResponse(
                status=upstream_response.status, headers=headers
            )
            response.enable_chunked_encoding()
            if call.draining:
                close_after(request, response)
            call.response = response
            await response.prepare(request)
        return call.response

    def abort(
        self, request: web.BaseRequest, call: Call, reason: str
    ) -> web.StreamResponse:
        """
        Closes the connection of a started response so that it does not look complete.
        """
        count(Counter.INTERRUPTED_RESPONSES, reason)
        log.info(
            "Aborted a response.",
            request=call.metadata.request_id,
            reason=reason,
            events=call.events.count,
        )
        assert call.response is not None
        if request.transport is not None:
            request.transport.close()
        return call.response


async def _record(call: Call, recorder: TurnRecorder, events: list[bytes]) -> None:
    """
    Records events of a turn here and at other VMs.

    Raises `OutcomeUnknown` without memory for them.
    """
    if not call.memory.hold(Memory.OUTPUTS, sum(map(len, events))):
        raise OutcomeUnknown("no memory for the output of the turn")
    recorder.record(events)
    if call.copies is not None:
        await call.copies.add(events)


def _check_continues(
    response: web.StreamResponse, upstream_response: UpstreamResponse
) -> None:
    """Raises unless an upstream's response can continue one that has started."""
    content_type = upstream_response.headers.get(hdrs.CONTENT_TYPE, "")
    if content_type != response.headers.get(hdrs.CONTENT_TYPE, ""):
        raise ResponseInterrupted(f"a stream cannot continue as {content_type!r}")
