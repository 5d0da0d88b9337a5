"""
Passes an upstream's answer on to the caller.

Plain answers are read whole first, so that a broken one can still be replaced. Streams
are passed on event by event; one that breaks is never ended as if it were complete.
"""

from aiohttp import web

from damasksaddle.exceptions import OutcomeUnknown
from damasksaddle.utils import Counter, count, get_logger
from damasksaddle_gateway.calls import Call
from damasksaddle_gateway.interfaces import HeaderCodec
from damasksaddle_gateway.upstreams import Answer, BrokenOff

log = get_logger("relay")


class Relay:
    """Writes answers to callers."""

    def __init__(self, wire: HeaderCodec) -> None:
        self._wire = wire

    async def whole(self, call: Call, answer: Answer) -> web.StreamResponse:
        body = await answer.body()
        if call.response is not None:
            raise OutcomeUnknown("the upstream refused to go on with the stream")
        headers = self._wire.response_headers(answer.headers)
        return web.Response(status=answer.status, headers=headers, body=body)

    async def events(
        self, request: web.BaseRequest, call: Call, answer: Answer
    ) -> web.StreamResponse:
        call.events.reset()
        engine = call.service.engine
        tokens_per_event = engine.tokens_per_event if engine else 0
        async for chunk in answer.chunks():
            for event in call.events.feed(chunk):
                call.tokens_used += tokens_per_event
                if call.reservation and call.tokens_used > call.reservation.tokens:
                    call.tokens_used -= tokens_per_event
                    raise OutcomeUnknown("the turn is larger than its reservation")
                response = await self._start_stream(request, call, answer)
                await response.write(event)
            if call.events.last_id:
                call.last_event_id = call.events.last_id
        if call.events.partial:
            raise BrokenOff("the stream ended inside an event")
        response = await self._start_stream(request, call, answer)
        await response.write_eof()
        return response

    async def _start_stream(
        self, request: web.BaseRequest, call: Call, answer: Answer
    ) -> web.StreamResponse:
        if call.response is None:
            headers = self._wire.response_headers(answer.headers)
            response = web.StreamResponse(status=answer.status, headers=headers)
            response.enable_chunked_encoding()
            if call.leaving:
                response.force_close()
            call.response = response
            await response.prepare(request)
        return call.response

    def break_off(
        self, request: web.BaseRequest, call: Call, reason: str
    ) -> web.StreamResponse:
        """Ends a begun answer so that it does not look complete."""
        count(Counter.INTERRUPTED_RESPONSES, reason)
        log.info(
            "Broke off an answer.",
            request=call.facts.request_id,
            reason=reason,
            events=call.events.count,
        )
        assert call.response is not None
        if request.transport is not None:
            request.transport.close()
        return call.response
