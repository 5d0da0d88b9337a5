"""A server of peers against processes that are not peers, and peers that misbehave."""

import asyncio
import random
import struct

import pytest

from damasksaddle.exceptions import PeerUnreachable
from damasksaddle_node.peers import Handlers, PeerPool, PeerServer
from damasksaddle_node.peers.handshake import greet_as_client
from damasksaddle_protocol import (
    Acquire,
    Acquired,
    CallChunk,
    Cancel,
    Failure,
    Frame,
    Hello,
    pack_frame,
    read_frame,
)
from damasksaddle_standins import MemoryNetwork

SECRET = "fleet secret"


class Desk:
    """A server whose handler answers after `wait_ms`, and peers that ask it."""

    def __init__(self) -> None:
        self.network = MemoryNetwork()
        self.served: list[str] = []
        handlers = Handlers()
        handlers.add(Acquire, self._answer)
        near = self.network.as_node("server")
        self.server = PeerServer("server-1", SECRET, near, handlers, lambda: 1)

    async def _answer(self, message, sender):
        self.served.append(message.workspace)
        await asyncio.sleep(message.max_wait_ms / 1000)
        return Acquired(message.max_wait_ms)

    async def __aenter__(self) -> "Desk":
        await self.server.start("", 0)
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.server.stop()

    async def connect(self, name: str):
        """Opens a connection without a handshake."""
        return await self.network.as_node(name).connect(self.server.address)

    async def ask(self, name: str, secret: str = SECRET):
        """Asks once, as an honest peer does."""
        near = self.network.as_node(name)
        address = self.server.address
        pool = PeerPool(
            f"{name}-1", secret, near, Handlers(), lambda _: address, lambda: 1, 1.0
        )
        try:
            return await pool.request("server-1", Acquire(name, 0), 2.0)
        finally:
            pool.close()


async def closed(reader: asyncio.StreamReader) -> None:
    """Reads until the server closes; fails if it does not within a minute."""
    async with asyncio.timeout(60):
        while await reader.read(65536):
            pass


async def test_other_secrets_are_refused():
    """Guards against work for a process that does not know the fleet secret."""
    async with Desk() as desk:
        with pytest.raises(PeerUnreachable):
            await desk.ask("stranger", "another secret")
        # A frame in place of the handshake, and an endless one.
        for data in (
            pack_frame(Frame(1, Acquire("early", 0))),
            struct.pack(">I", 2**20),
        ):
            reader, writer = await desk.connect("stranger")
            writer.write(data)
            await closed(reader)
        assert await desk.ask("peer") == Acquired(0)
        assert desk.served == ["peer"]


async def test_replayed_handshakes_are_refused():
    """Guards against a recorded connection that is played again."""
    async with Desk() as desk:
        reader, writer = await desk.connect("peer")
        sent = []
        write = writer.write
        writer.write = lambda data: (sent.append(data), write(data))
        await greet_as_client(reader, writer, "peer-1", SECRET)
        writer.write(pack_frame(Frame(1, Acquire("first", 0))))
        assert (await read_frame(reader)).message == Acquired(0)
        reader, writer = await desk.connect("peer")
        for data in sent:
            writer.write(data)
        await closed(reader)
        # The server's own answer does not open a connection to it either.
        reader, writer = await desk.connect("peer")
        writer.write(pack_frame(Frame(0, Hello("peer-1", b"n" * 16, b""))))
        answer = (await read_frame(reader)).message
        writer.write(pack_frame(Frame(0, Hello("peer-1", answer.nonce, answer.mac))))
        await closed(reader)
        assert desk.served == ["first"]


async def test_misbehaving_peers_do_not_stop_others():
    """Guards against one peer's frames ending the service for the others."""
    rng = random.Random(20261204)
    async with Desk() as desk:
        for number in range(60):
            reader, writer = await desk.connect("bad")
            await greet_as_client(reader, writer, "bad-1", SECRET)
            writer.write(pack_frame(Frame(1, Acquire(f"slow{number}", 5000))))
            good = bytearray(pack_frame(Frame(2, Acquire("x", 0))))
            for _ in range(rng.randrange(4)):
                good[rng.randrange(len(good))] ^= rng.randrange(1, 256)
            noise = (
                bytes(good),
                rng.randbytes(rng.randrange(400)),
                struct.pack(">I", rng.randrange(2**32)) + rng.randbytes(50),
                pack_frame(Frame(1, Acquire("same id", 0))),
                pack_frame(Frame(3, CallChunk("no request"))),
                pack_frame(Frame(9, Cancel())) + pack_frame(Frame(1, Cancel())),
            )[number % 6]
            writer.write(noise)
            if number % 2:
                writer.close()
            assert await desk.ask(f"peer{number}") == Acquired(0)
        assert [name for name in desk.served if name.startswith("peer")] == [
            f"peer{number}" for number in range(60)
        ]
        reader, writer = await desk.connect("peer")
        await greet_as_client(reader, writer, "peer-1", SECRET)
        writer.write(pack_frame(Frame(4, CallChunk("no request"))))
        answer = (await read_frame(reader)).message
        assert isinstance(answer, Failure) and answer.not_run == "true"
