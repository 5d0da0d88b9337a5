"""The peer server under unauthenticated clients and faulty peers."""

import asyncio
import random
import struct

import pytest

from damasksaddle.exceptions import PeerUnreachable
from damasksaddle_node.peers import Handlers, PeerPool, PeerServer
from damasksaddle_node.peers.handshake import client_handshake
from damasksaddle_protocol import (
    Acquire,
    Acquired,
    CallChunk,
    CallEnd,
    Cancel,
    Failure,
    Frame,
    Hello,
    pack_frame,
    read_frame,
)
from damasksaddle_standins import MemoryNetwork

SECRET = "fleet secret"


class ServerHarness:
    """A peer server whose handler responds after `max_wait_ms`, and clients of it."""

    def __init__(self) -> None:
        self.network = MemoryNetwork()
        self.served: list[str] = []
        handlers = Handlers()
        handlers.add(Acquire, self._respond)
        network = self.network.as_node("server")
        self.server = PeerServer("server-1", SECRET, network, handlers, lambda: 1)

    async def _respond(self, message, sender):
        self.served.append(message.workspace)
        await asyncio.sleep(message.max_wait_ms / 1000)
        return Acquired(message.max_wait_ms)

    async def __aenter__(self) -> "ServerHarness":
        await self.server.start("", 0)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.server.stop()

    async def connect(self, name: str):
        """Opens a connection without a handshake."""
        return await self.network.as_node(name).connect(self.server.address)

    async def request(self, name: str, secret: str = SECRET):
        """Sends one request through a `PeerPool`."""
        network = self.network.as_node(name)
        address = self.server.address
        pool = PeerPool(
            f"{name}-1", secret, network, Handlers(), lambda _: address, lambda: 1, 1.0
        )
        try:
            return await pool.request("server-1", Acquire(name, 0), 2.0)
        finally:
            pool.close()


async def wait_until_closed(reader: asyncio.StreamReader) -> None:
    """Waits until the server closes the connection; fails after a minute."""
    async with asyncio.timeout(60):
        while await reader.read(65536):
            pass


async def test_unauthenticated_connections_are_rejected():
    """Guards against requests from a process without the fleet secret."""
    async with ServerHarness() as harness:
        with pytest.raises(PeerUnreachable):
            await harness.request("stranger", "another secret")
        # A request in place of the handshake, and a frame that exceeds the size limit.
        for data in (
            pack_frame(Frame(1, Acquire("early", 0))),
            struct.pack(">I", 2**20),
        ):
            reader, writer = await harness.connect("stranger")
            writer.write(data)
            await wait_until_closed(reader)
        assert await harness.request("peer") == Acquired(0)
        assert harness.served == ["peer"]


async def test_replayed_handshakes_are_rejected():
    """Guards against replayed recordings and reflected handshakes."""
    async with ServerHarness() as harness:
        reader, writer = await harness.connect("peer")
        sent = []
        write = writer.write
        writer.write = lambda data: (sent.append(data), write(data))
        await client_handshake(reader, writer, "peer-1", SECRET)
        writer.write(pack_frame(Frame(1, Acquire("first", 0))))
        assert (await read_frame(reader)).message == Acquired(0)
        reader, writer = await harness.connect("peer")
        for data in sent:
            writer.write(data)
        await wait_until_closed(reader)
        # The server must not accept its own response as a proof.
        reader, writer = await harness.connect("peer")
        writer.write(pack_frame(Frame(0, Hello("peer-1", b"n" * 16, b""))))
        response = (await read_frame(reader)).message
        writer.write(
            pack_frame(Frame(0, Hello("peer-1", response.nonce, response.mac)))
        )
        await wait_until_closed(reader)
        assert harness.served == ["first"]


async def test_faulty_peers_do_not_affect_other_peers():
    """Guards against invalid frames of one peer that disrupt other peers."""
    rng = random.Random(20261204)
    async with ServerHarness() as harness:
        for number in range(60):
            reader, writer = await harness.connect("bad")
            await client_handshake(reader, writer, "bad-1", SECRET)
            writer.write(pack_frame(Frame(1, Acquire(f"slow{number}", 5000))))
            corrupted = bytearray(pack_frame(Frame(2, Acquire("x", 0))))
            for _ in range(rng.randrange(4)):
                corrupted[rng.randrange(len(corrupted))] ^= rng.randrange(1, 256)
            data = (
                bytes(corrupted),
                rng.randbytes(rng.randrange(400)),
                struct.pack(">I", rng.randrange(2**32)) + rng.randbytes(50),
                pack_frame(Frame(1, Acquire("same id", 0))),
                pack_frame(Frame(3, CallChunk("no request"))),
                pack_frame(Frame(9, Cancel())) + pack_frame(Frame(1, Cancel())),
            )[number % 6]
            writer.write(data)
            if number % 2:
                writer.close()
            assert await harness.request(f"peer{number}") == Acquired(0)
        assert [name for name in harness.served if name.startswith("peer")] == [
            f"peer{number}" for number in range(60)
        ]
        reader, writer = await harness.connect("peer")
        await client_handshake(reader, writer, "peer-1", SECRET)
        writer.write(pack_frame(Frame(4, CallChunk("no request"))))
        response = (await read_frame(reader)).message
        assert isinstance(response, Failure) and response.not_run == "true"


async def test_a_stream_is_active_until_its_last_frame_is_sent():
    """
    Guards against a planned stop that cuts a stream whose call has just ended.

    Seen under load: a stream had all of its text, but not its end.
    """
    async with ServerHarness() as harness:
        sent = []

        async def respond(message, sender):
            for text in ("one", "two"):
                yield CallChunk(text)
                await asyncio.sleep(1.0)
            sent.append("end")
            yield CallEnd(b"{}")

        harness.server.handlers.add_streaming(Acquire, respond)
        harness.server.handlers.unary.clear()
        reader, writer = await harness.connect("peer")
        await client_handshake(reader, writer, "peer-1", SECRET)
        writer.write(pack_frame(Frame(1, Acquire("ws", 0))))
        assert (await read_frame(reader)).message == CallChunk("one")
        assert (harness.server.active_streams, sent) == (1, [])
        async with asyncio.timeout(10):
            while (await read_frame(reader)).message != CallEnd(b"{}"):
                pass
        await asyncio.sleep(0.1)
        assert harness.server.active_streams == 0
        writer.write(pack_frame(Frame(2, Acquire("ws", 0))))
        await read_frame(reader)
        writer.close()
        await asyncio.sleep(0.1)
        assert harness.server.active_streams == 0
