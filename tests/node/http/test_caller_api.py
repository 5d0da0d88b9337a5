"""Tests of the caller API over real sockets: clients, refusals, keys and answers."""

import asyncio
import json
import logging
import socket

import logbook
import openai
import pytest
from aiohttp import web

from damasksaddle_node.peers.buffering import CoalescingQueue
from damasksaddle_protocol import CallChunk, CallEnd
from damasksaddle_standins import EngineSettings, ModelEngine
from damasksaddle_standins.desk import (
    CHAT,
    FILE,
    chat_body,
    desk,
    request_of,
    verdict,
)
from damasksaddle_standins.http_fleet import listen, send_raw

pytestmark = pytest.mark.processes


async def test_openai_client():
    """Guards against an API that an unmodified OpenAI client cannot use."""
    async with desk(2) as (fleet, key):
        texts = []
        for node in fleet.nodes:
            client = openai.AsyncOpenAI(
                base_url=f"{node.http_url}/v1", api_key=key, max_retries=0
            )
            chat = client.chat.completions
            completion = await chat.create(**chat_body("whole"))
            assert completion.usage.completion_tokens == 3
            chunks = [
                chunk
                async for chunk in await chat.create(**chat_body("stream"), stream=True)
            ]
            texts.append(completion.choices[0].message.content)
            texts.append("".join(p.choices[0].delta.content or "" for p in chunks))
            assert len({chunk.id for chunk in chunks}) == 1
            assert chunks[-1].choices[0].finish_reason == "length"
            models = [model.id async for model in client.models.list()]
            assert models == ["desk/chat"]
            assert (await client.models.retrieve("desk/chat")).id == "desk/chat"
            with pytest.raises(openai.NotFoundError, match="no route"):
                await chat.create(**chat_body(model="desk/none"))
            with pytest.raises(openai.AuthenticationError):
                await client.with_options(api_key="dsk_aa_bb").models.list()
        assert texts == ["w0 w1 w2 "] * 4
        assert [call.prompt for call in fleet.engine.seen] == ["whole", "stream"] * 2


BODY = json.dumps(chat_body()).encode()
LENGTH = f"Content-Length: {len(BODY)}\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n"
CHUNKS = b"%x\r\n" % len(BODY) + BODY + b"\r\n0\r\n\r\n"
RAW_REQUESTS = {
    "plain": (LENGTH, BODY),
    "chunked": (CHUNKED, CHUNKS),
    "length and chunked": (LENGTH + CHUNKED, CHUNKS),
    "chunked and length": (CHUNKED + LENGTH, CHUNKS),
    "two lengths": (LENGTH + "Content-Length: 5\r\n", BODY),
    "length twice": (LENGTH + LENGTH, BODY),
    "list of lengths": (f"Content-Length: {len(BODY)}, {len(BODY)}\r\n", BODY),
    "signed length": (f"Content-Length: +{len(BODY)}\r\n", BODY),
    "negative length": ("Content-Length: -1\r\n", BODY),
    "unknown coding": ("Transfer-Encoding: xchunked\r\n", CHUNKS),
    "coding after chunked": ("Transfer-Encoding: chunked, identity\r\n", CHUNKS),
    "bad chunk size": (CHUNKED, b"zz\r\nabc\r\n0\r\n\r\n"),
    "chunks with bare LF": (CHUNKED, CHUNKS.replace(b"\r\n", b"\n")),
    "one bare LF": (LENGTH + "X-A: b\nX-B: c\r\n", BODY),
    "bare CR": (LENGTH + "X-A: b\rX-B: c\r\n", BODY),
    "folded header": (LENGTH + "X-A: b\r\n c\r\n", BODY),
    "space before colon": (LENGTH + "X-A : b\r\n", BODY),
    "NUL in header": (LENGTH + "X-A: b\0c\r\n", BODY),
    "too many headers": (LENGTH + "X-A: b\r\n" * 200, BODY),
    "long header": (LENGTH + f"X-A: {'a' * 9000}\r\n", BODY),
    "second host": (LENGTH + "Host: y\r\n", BODY),
    "second key": (LENGTH + "Authorization: Bearer dsk_aa_bb\r\n", BODY),
    "body too large": ("Content-Length: 5000\r\n", b"{"),
    "chunks too large": (CHUNKED, b"1388\r\n" + b"a" * 5000 + b"\r\n0\r\n\r\n"),
    "not gzip": (LENGTH + "Content-Encoding: gzip\r\n", BODY),
    "unknown expectation": (LENGTH + "Expect: tea\r\n", BODY),
    "expects continue": (LENGTH + "Expect: 100-continue\r\n", BODY),
    "deadline not a number": (LENGTH + "X-Damasksaddle-Deadline-Ms: 1e3\r\n", BODY),
    "deadline too large": (LENGTH + "X-Damasksaddle-Deadline-Ms: 9999999999\r\n", BODY),
    "budget negative": (LENGTH + "X-Damasksaddle-Budget: -1\r\n", BODY),
    "parent without name": (LENGTH + "X-Damasksaddle-Parent: p\r\n", BODY),
    "program of dots": (LENGTH + "X-Damasksaddle-Program: ../x\r\n", BODY),
    "sealed is no record": (LENGTH + "X-Damasksaddle-Sealed: AAAA\r\n", BODY),
}  # fmt: skip


async def test_request_framing(snapshot):
    """
    Guards against running ambiguous or invalid requests, or a false `not_run`.

    Only requests with status 200 may reach the engine.
    """
    async with desk(1, max_body_bytes=4096) as (fleet, key):
        url = fleet.nodes[0].http_url
        results = {
            name: await verdict(url, request_of(key, head, body))
            for name, (head, body) in RAW_REQUESTS.items()
        }
        results["bare LF"] = await verdict(
            url, request_of(key, LENGTH, BODY).replace(b"\r\n", b"\n")
        )
        results["TLS hello"] = await verdict(url, b"\x16\x03\x01\x02\x00\x01")
        results["no key"] = await verdict(url, request_of("", LENGTH, BODY))
        key = await fleet.give_key("slow")
        results["first of slow"] = await verdict(url, request_of(key, LENGTH, BODY))
        results["above rate"] = await verdict(url, request_of(key, LENGTH, BODY))
        assert results == snapshot
        accepted = [name for name, answer in results.items() if answer[0] == 200]
        assert len(fleet.engine.seen) == len(accepted)


PROBE_VALUES = (None, True, -1, 1.5, 10**30, "", "\x00", "é", [], [1], {"a": 1})
BODY_FIELDS = {
    "model": "desk/chat",
    "messages": [{"role": "user", "content": "hello"}],
    "stream": False,
    "max_tokens": 3,
    "max_completion_tokens": 3,
    "n": 1,
    "tools": [],
}
OPTIONS = ("program", "parent", "idempotency_key", "deadline_ms", "budget", "sealed")
RAW_BODIES = {
    "empty": b"",
    "cut": BODY[:-1],
    "a list": b"[]",
    "not UTF-8": b'{"model": "\xff"}',
    "half a surrogate pair": b'{"model": "\\ud800"}',
    "not a number": BODY.replace(b"3", b"NaN"),
    "endless number": BODY.replace(b"3", b"9" * 5000),
    "deeply nested": b'{"a":' * 20_000 + b"1" + b"}" * 20_000,
    "two values": BODY + BODY,
}


async def test_wrong_types(snapshot):
    """Guards against values of a wrong type that cause an internal error."""
    async with desk(1, ModelEngine(EngineSettings(token_s=0))) as (fleet, key):
        url = fleet.nodes[0].http_url
        bodies = {
            name: (body if isinstance(body, bytes) else json.dumps(body).encode())
            for name, body in RAW_BODIES.items()
        }
        for value in PROBE_VALUES:
            for name in BODY_FIELDS:
                bodies[f"{name}={value!r}"] = chat_body(**{name: value})
            for name in (*OPTIONS, "history", "unknown"):
                options = {"damasksaddle": {name: value}}
                bodies[f"damasksaddle.{name}={value!r}"] = chat_body(**options)
            for name in ("role", "content"):
                message = {"role": "user", "content": "hello", name: value}
                bodies[f"message.{name}={value!r}"] = chat_body(messages=[message])
        results = {}
        for name, body in bodies.items():
            before = len(fleet.engine.seen)
            answer = await verdict(url, request_of(key, body=body))
            ran = len(fleet.engine.seen) > before
            assert answer[0] != 500, name
            assert answer[0] == 200 if ran else answer[2] is True, name
            results.setdefault(answer[:3], []).append(name)
        assert results == snapshot


async def test_no_upstream_sees_a_key(caplog):
    """Guards against leaking a key to upstreams, the table or the log."""
    caplog.set_level(logging.DEBUG)
    log = logbook.TestHandler(level=logbook.DEBUG)
    with log.applicationbound():
        async with desk(2) as (fleet, key):
            secret = key.rpartition("_")[2]
            escaped = "\\u0064" + key[1:]
            key_headers = (
                f"Cookie: session={key}\r\nX-Api-Key: {key}\r\nReferer: http://x/{key}\r\n"
                f"Forwarded: for={key}\r\nX-Forwarded-Authorization: Bearer {key}\r\n"
                f"Proxy-Authorization: Basic {key}\r\nX-Request-Id: {key}\r\n"
            )
            query = f"?api_key={key}&{key}"
            program = f"/v1/programs/{key}{query}"
            requests = [
                (200, request_of(key, key_headers, chat_body(), CHAT + query)),
                (200, request_of(key, key_headers, b"{}", FILE + query)),
                (400, request_of(key, "", chat_body(f"my key is {key}"))),
                (400, request_of(key, "", chat_body(user=secret))),
                (400, request_of(key, "", BODY.replace(b"hello", escaped.encode()))),
                (400, request_of(key, "", b'{"a": "%s"}' % escaped.encode(), FILE)),
                (400, request_of(key, "", key.encode(), FILE)),
                (400, request_of(key, f"Content-Type: a/{key}\r\n", b"{}", FILE)),
                (400, request_of(key, f"Idempotency-Key: {key}\r\n", chat_body())),
                (400, request_of(key, f"X-Damasksaddle-Program: {key}\r\n", BODY)),
                (400, request_of(key, f"X-Broken: {key}\0\r\n", chat_body())),
                (404, request_of(key, "", b"", program, "GET")),
                (400, request_of(key, "", {"program": key}, "/v1/programs")),
                (404, request_of(key, "", b"{}", f"/v1/services/desk/{key}")),
            ]  # fmt: skip
            for node in fleet.nodes:
                for status, data in requests:
                    answer = await send_raw(node.http_url, data)
                    assert answer.status == status, data
            seen = fleet.recorder
            assert len([r for r in seen.requests if r.method == "POST"]) >= 4
            stored = repr(fleet.table.rows)
            logged = "\n".join(log.formatted_records) + caplog.text
    for text in (seen.text(), stored, logged):
        assert secret not in text


async def test_programs(snapshot):
    """Guards against programs that exceed their budget or leave their workspace."""
    async with desk(2) as (fleet, key):
        other = await fleet.give_key("other")
        urls = [node.http_url for node in fleet.nodes]
        head = "X-Damasksaddle-Program: trip\r\n"
        steps = {
            "start": (key, "POST", "", {"program": "trip", "budget": 60}),
            "start again": (key, "POST", "", {"program": "trip", "budget": 60}),
            "start with another budget": (key, "POST", "", {"program": "trip"}),
            "start without a name": (key, "POST", "", {}),
            "start of nothing": (key, "POST", "", {"service": "none"}),
            "start with a wrong type": (key, "POST", "", {"budget": "60"}),
            "a call within the budget": (key, "FILE", head, b"{}"),
            "a call above the budget": (key, "FILE", head, b"{}"),
            "read": (key, "GET", "/trip", b""),
            "read by another workspace": (other, "GET", "/trip", b""),
            "end by another workspace": (other, "POST", "/trip/end", b""),
            "read past the workspace": (other, "GET", "/../ngo/trip", b""),
            "read past it, encoded": (other, "GET", "/%2e%2e/ngo%2ftrip", b""),
            "an encoded slash": (key, "GET", "/trip%2fsub", b""),
            "a wrong method": (key, "PUT", "/trip", b""),
            "end": (key, "POST", "/trip/end", b""),
            "end again": (key, "POST", "/trip/end", b""),
            "start after the end": (key, "POST", "", {"program": "trip", "budget": 60}),
            "a call after the end": (key, "FILE", head, b"{}"),
        }
        results = {}
        for number, (name, (caller_key, method, rest, body)) in enumerate(
            steps.items()
        ):
            path, extra = f"/v1/programs{rest}", ""
            if method == "FILE":
                method, path, extra = "POST", FILE, rest
            data = request_of(caller_key, extra, body, path, method)
            results[name] = await verdict(urls[number % 2], data)
        assert results == snapshot
        assert len(fleet.tool.seen) == 1
        for caller_key, count in ((key, 2), (other, 0)):
            data = request_of(caller_key, "", b"", "/v1/programs", "GET")
            listed = json.loads((await send_raw(urls[0], data)).body)["programs"]
            assert len(listed) == count
            assert all(program["workspace"] == "ngo" for program in listed)


async def test_caller_disconnects():
    """Guards against generating, and charging, tokens after a caller disconnects."""
    engine = ModelEngine(EngineSettings(token_s=0.02))
    async with desk(2, engine) as (fleet, key):
        for number, node in enumerate(fleet.nodes):
            head = f"X-Damasksaddle-Program: p{number}\r\n"
            body = chat_body(stream=True, max_tokens=500)
            host, port = node.http_url.removeprefix("http://").split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(request_of(key, head, body))
            async with asyncio.timeout(10):
                await reader.readuntil(b"w3 ")
                writer.transport.abort()
                while engine.seen[number].ended == "running":
                    await asyncio.sleep(0.01)
            seen = engine.seen[number]
            assert (seen.ended, 4 <= seen.tokens < 60) == ("cancelled", True)
            data = request_of(key, "", b"", f"/v1/programs/p{number}", "GET")
            async with asyncio.timeout(5):
                program = {"turns": 0}
                while not program["turns"] or program["reserved_micros"]:
                    program = json.loads((await send_raw(node.http_url, data)).body)
            assert 0 < program["spent_micros"] <= 1 + 2 * seen.tokens


async def test_plain_responses_are_unchanged():
    """Guards against modified bodies, followed redirects and shared cookies."""
    seen = []

    async def answer(request: web.Request) -> web.Response:
        seen.append((request.path, dict(request.headers), await request.read()))
        if request.path == "/file":
            return web.Response(status=307, headers={"Location": "/look"})
        headers = {"Content-Type": "image/png; a=b", "Set-Cookie": "workspace=ngo"}
        return web.Response(body=bytes(range(256)) * 100, headers=headers)

    app = web.Application()
    app.router.add_post("/{path:.*}", answer)
    url, runner = await listen(app)
    async with desk(2, tool_url=url) as (fleet, key):
        for node in fleet.nodes:
            head = "Content-Type: multipart/form-data; boundary=x\r\n"
            look = request_of(key, head, b"\xff\x00", "/v1/services/desk/look")
            response = await send_raw(node.http_url, look)
            assert response.body == bytes(range(256)) * 100
            assert response.headers["content-type"] == "image/png; a=b"
            assert "set-cookie" not in response.headers
            response = await send_raw(node.http_url, request_of(key, "", b"{}", FILE))
            assert response.status == 307
    await runner.cleanup()
    assert [path for path, _, _ in seen] == ["/look", "/file"] * 2
    assert all("Cookie" not in headers for _, headers, _ in seen)
    assert seen[0][1]["Content-Type"] == "multipart/form-data; boundary=x"
    assert seen[0][2] == b"\xff\x00"


async def test_slow_reader():
    """Guards against a truncated answer for a caller that reads slowly."""
    engine = ModelEngine(EngineSettings(token_s=0, batch_growth=0))
    tokens = 3000
    async with desk(2, engine) as (fleet, key):
        for number, node in enumerate(fleet.nodes):
            host, port = node.http_url.removeprefix("http://").split(":")
            with socket.socket() as caller:
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                caller.connect((host, int(port)))
                reader, writer = await asyncio.open_connection(sock=caller, limit=1024)
                body = chat_body(stream=True, max_tokens=tokens)
                head = "X-Damasksaddle-Program: p\r\n"
                writer.write(request_of(key, head, body))
                async with asyncio.timeout(30):
                    data = bytearray(await reader.readuntil(b"w0 "))
                    while engine.seen[number].ended == "running":
                        await asyncio.sleep(0.02)
                    while b"[DONE]" not in data[-100:]:
                        data += await reader.read(65536)
                writer.close()
            chunks = [
                json.loads(c[6:]) for c in data.split(b"\n") if c[:7] == b"data: {"
            ]
            text = "".join(c["choices"][0]["delta"].get("content", "") for c in chunks)
            assert text.split() == [f"w{n}" for n in range(tokens)]


async def test_queued_chunks_are_merged():
    """Guards against memory use per chunk while a caller does not read."""
    queue = CoalescingQueue()
    for number in range(100_000):
        queue.put_nowait(CallChunk(f"w{number} "))
    queue.put_nowait(CallEnd(b""))
    queued = [queue.get_nowait() for _ in range(queue.qsize())]
    assert len(queued) < 50
    assert "".join(chunk.text for chunk in queued[:-1]).split()[-1] == "w99999"
    assert queued[-1] == CallEnd(b"")
