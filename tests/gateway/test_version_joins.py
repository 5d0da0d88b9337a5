"""Streams over real sockets, from upstreams of two software versions."""

from dataclasses import dataclass, field, replace

import aiohttp
import pytest
from aiohttp import web

from damasksaddle_gateway.routing_config import Streaming, Target
from tests.gateway.test_request_handler import (
    CONFIG,
    SIGNED,
    RequestCallback,
    RunningGateway,
    route,
    run_gateway,
)

EVENTS = 3
STREAMS = 12
SERVICE = CONFIG.services["svc"]


@dataclass
class TwoVersions:
    """Upstreams u0 and u1 of v1, and u2 and u3 of v2; each break ends a connection."""

    breaks: int = 1
    # Upstreams that have started again under their ids, with another version.
    restarted: bool = False
    sent_by_request: dict[str, list[tuple[str, int]]] = field(default_factory=dict)

    def handlers(self) -> list[RequestCallback]:
        return [self._handler(version) for version in ("v1", "v1", "v2", "v2")]

    def _handler(self, version: str) -> RequestCallback:
        async def respond(request: web.BaseRequest) -> web.StreamResponse:
            response = web.StreamResponse(headers=SIGNED)
            response.enable_chunked_encoding()
            await response.prepare(request)
            sent = self.sent_by_request.setdefault(request.headers["X-Request-Id"], [])
            first = int(request.headers.get("Last-Event-Id", 0)) + 1
            for event in range(first, EVENTS + 1):
                await response.write(b"id: %d\ndata: x\n\n" % event)
                sent.append(("v3" if self.restarted else version, event))
                if event == first and self.breaks > 0:
                    self.breaks -= 1
                    assert request.transport is not None
                    request.transport.close()
                    return response
            await response.write_eof()
            return response

        return respond

    def prepare(self, gateway: RunningGateway, attempts: int) -> None:
        streams = route("/turn/", Streaming(resumable=True, max_gap_ms=200), attempts)
        gateway.config_watcher.config = replace(CONFIG, routes=(streams,))
        gateway.config_watcher.upstreams = {
            name: replace(upstream, software_version="v1" if name < "u2" else "v2")
            for name, upstream in gateway.config_watcher.upstreams.items()
        }


async def test_a_broken_stream_goes_on_at_the_version_that_began_it() -> None:
    """Guards against joining two software versions in one response (ORDER)."""
    upstreams = TwoVersions()
    async with run_gateway(*upstreams.handlers()) as gateway:
        upstreams.prepare(gateway, attempts=3)
        for stream in range(STREAMS):
            upstreams.breaks = 1
            request_id = f"r{stream}"
            status, body, _ = await gateway.send("/turn/x", X_Request_Id=request_id)
            sent = upstreams.sent_by_request[request_id]
            assert (status, body.count(b"id:")) == (200, EVENTS)
            assert len({version for version, _ in sent}) == 1


async def test_a_stream_taken_up_goes_on_at_the_version_that_began_it() -> None:
    """Guards against joining two software versions over a caller's tries (ORDER)."""
    upstreams = TwoVersions(breaks=STREAMS)
    async with run_gateway(*upstreams.handlers()) as gateway:
        upstreams.prepare(gateway, attempts=1)
        for stream in range(STREAMS):
            with pytest.raises(aiohttp.ClientPayloadError):
                await gateway.send("/turn/x", X_Request_Id=f"r{stream}")
        for stream in range(STREAMS):
            status, body, _ = await gateway.send(
                "/turn/x",
                X_Request_Id=f"again-{stream}",
                Last_Event_Id="1",
                Resumes=f"r{stream}",
            )
            sent = [
                *upstreams.sent_by_request[f"r{stream}"],
                *upstreams.sent_by_request[f"again-{stream}"],
            ]
            assert (status, body.count(b"id:")) == (200, EVENTS - 1)
            assert len({version for version, _ in sent}) == 1


async def test_a_vm_out_of_step_takes_up_no_stream() -> None:
    """Guards against joining versions on a VM that was cut off during a release."""
    upstreams = TwoVersions(breaks=STREAMS)
    async with run_gateway(*upstreams.handlers()) as gateway:
        upstreams.prepare(gateway, attempts=1)
        for stream in range(STREAMS):
            with pytest.raises(aiohttp.ClientPayloadError):
                await gateway.send("/turn/x", X_Request_Id=f"r{stream}")
        upstreams.restarted = True
        watcher = gateway.config_watcher
        watcher.upstreams_age_s = lambda: 2.5  # type: ignore[method-assign]
        for stream in range(STREAMS):
            again = {"Last_Event_Id": "1", "Resumes": f"r{stream}"}
            status, body, _ = await gateway.send(
                "/turn/x", X_Request_Id=f"again-{stream}", **again
            )
            assert (status, body) == (503, b"stream_version_unknown")
        assert not any(name.startswith("again") for name in upstreams.sent_by_request)


async def test_a_stream_taken_up_goes_on_at_the_service_that_began_it() -> None:
    """Guards against continuing a stream at another service of a split route."""
    upstreams = TwoVersions()
    async with run_gateway(*upstreams.handlers()) as gateway:
        upstreams.prepare(gateway, attempts=1)
        streams = route("/turn/", Streaming(resumable=True, max_gap_ms=200))
        targets = (Target("svc", 1.0), Target("other", 1.0))
        gateway.config_watcher.config = replace(
            CONFIG,
            routes=(replace(streams, targets=targets),),
            services={**CONFIG.services, "other": replace(SERVICE, name="other")},
        )
        for upstream in list(gateway.config_watcher.upstreams.values())[1::2]:
            gateway.config_watcher.upstreams[upstream.id] = replace(
                upstream, service="other"
            )
        for stream in range(STREAMS):
            upstreams.breaks = 1
            with pytest.raises(aiohttp.ClientPayloadError):
                await gateway.send("/turn/x", X_Request_Id=f"r{stream}")
            again = {"Last_Event_Id": "1", "Resumes": f"r{stream}"}
            await gateway.send("/turn/x", X_Request_Id=f"again-{stream}", **again)
            first, second = (
                gateway.config_watcher.upstreams[request.headers["X-Expect-Instance"]]
                for request in gateway.received[-2:]
            )
            assert first.service == second.service
