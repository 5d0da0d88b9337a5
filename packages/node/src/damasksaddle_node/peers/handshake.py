"""
Mutual proof of the fleet secret when a connection opens.

Each side sends a nonce and receives an HMAC over it, so a recorded handshake is of
no use to a process that does not know the secret.
"""

import asyncio
import hashlib
import hmac
import secrets

from damasksaddle.exceptions import PeerRejected
from damasksaddle_protocol import Frame, FrameWriter, Hello, pack_frame, read_frame

NONCE_BYTES = 16
# What a process that has proved nothing yet can make this one read.
HELLO_BYTES = 1024


def _mac(secret: str, role: str, nonce: bytes, vm_id: str) -> bytes:
    text = role.encode() + b"\0" + nonce + vm_id.encode()
    return hmac.new(secret.encode(), text, hashlib.sha256).digest()


async def _read_hello(reader: asyncio.StreamReader) -> Hello:
    frame = await read_frame(reader, HELLO_BYTES)
    if not isinstance(frame.message, Hello):
        raise PeerRejected("the peer did not open with Hello")
    if len(frame.message.nonce) != NONCE_BYTES:
        # Nonce and vm_id follow each other in the MAC, so their border is fixed.
        raise PeerRejected("the peer's nonce has a wrong length")
    return frame.message


def _check(hello: Hello, secret: str, role: str, nonce: bytes) -> None:
    if not hmac.compare_digest(hello.mac, _mac(secret, role, nonce, hello.vm_id)):
        raise PeerRejected(f"{hello.vm_id} does not know the fleet secret")


async def greet_as_client(
    reader: asyncio.StreamReader, writer: FrameWriter, vm_id: str, secret: str
) -> str:
    """Opens a connection and returns the peer's vm_id; raises `PeerRejected`."""
    nonce = secrets.token_bytes(NONCE_BYTES)
    writer.write(pack_frame(Frame(0, Hello(vm_id, nonce, b""))))
    await writer.drain()
    hello = await _read_hello(reader)
    _check(hello, secret, "server", nonce)
    mac = _mac(secret, "client", hello.nonce, vm_id)
    writer.write(pack_frame(Frame(0, Hello(vm_id, nonce, mac))))
    await writer.drain()
    return hello.vm_id


async def greet_as_server(
    reader: asyncio.StreamReader, writer: FrameWriter, vm_id: str, secret: str
) -> str:
    """Accepts a connection and returns the peer's vm_id; raises `PeerRejected`."""
    opening = await _read_hello(reader)
    nonce = secrets.token_bytes(NONCE_BYTES)
    mac = _mac(secret, "server", opening.nonce, vm_id)
    writer.write(pack_frame(Frame(0, Hello(vm_id, nonce, mac))))
    await writer.drain()
    hello = await _read_hello(reader)
    _check(hello, secret, "client", nonce)
    return hello.vm_id
