"""A planned stop of a gateway under load."""

import asyncio
import json

import aiohttp
from aiohttp import web

from damasksaddle.platform import Put
from damasksaddle_gateway.gateway import Gateway
from damasksaddle_gateway.settings import Address
from damasksaddle_platform.headers import PlatformHeaderCodec
from damasksaddle_platform.records import RecordDecoder
from damasksaddle_standins.versioned_table import MemoryVersionedTable, VersionedRows
from tests.gateway.conftest import make_settings
from tests.gateway.test_request_handler import start_server

KEY = "k3fexd9dnn2"
# Longer than the time after which a stop used to cut connections.
WORK_S = 1.0
CONFIG = {
    "Version": 1,
    "Routes": [
        {
            "Host": "desk.example",
            "Prefix": "/file/",
            "Type": "non_idempotent",
            "TimeoutMs": 3000,
            "Service": "app",
        }
    ],
    "Services": [{"Name": "app"}],
    "Tenants": [{"Name": "ngo", "ApiKeys": [KEY]}],
}


async def _work(request: web.BaseRequest) -> web.StreamResponse:
    await asyncio.sleep(WORK_S)
    return web.Response(body=b"filed", headers={"X-Server-Signature": "s1"})


async def _file_report(session: aiohttp.ClientSession, url: str) -> tuple[int, bytes]:
    headers = {
        "Host": "desk.example",
        "Authorization": f"Token {KEY}",
        "X-Request-Id": "r1",
        "X-Deadline-Ms": "2500",
    }
    async with session.post(url + "/file/x", headers=headers, data=b"{}") as response:
        return response.status, await response.read()


async def test_a_request_accepted_at_the_end_of_a_stop_is_finished(
    rows: VersionedRows, table: MemoryVersionedTable
) -> None:
    """Guards against cutting a request that arrives when nothing else is under way."""
    runner, address = await start_server(_work)
    rows.apply([Put("op//config", json.dumps(CONFIG))])
    server = {
        "Service": "app",
        "Address": address,
        "Zone": "a",
        "Version": "v1",
        "Slots": 4,
        "State": "ready",
        "SeqNum": 1,
    }
    rows.apply([Put("servers//i-1", json.dumps(server))])
    host = Address("127.0.0.1", 0)
    settings = make_settings(
        caller_address=host, peer_address=host, address_ttl_s=0.1, grace_s=6.0
    )
    gateway = Gateway(settings, table, RecordDecoder(), PlatformHeaderCodec())
    await gateway.start()
    while not gateway.request_handler.is_ready():
        await asyncio.sleep(0.1)
    caller_host, port = gateway._runners[0].addresses[0][:2]
    url = f"http://{caller_host}:{port}"
    async with aiohttp.ClientSession() as session:
        assert await _file_report(session, url) == (200, b"filed")
        await gateway.drain()
        late = asyncio.create_task(_file_report(session, url))
        while not gateway.request_handler.active_requests:
            await asyncio.sleep(0.01)
        await gateway.stop()
        assert await late == (200, b"filed")
    await runner.cleanup()
