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
from damasksaddle_protocol import Frame, Hello, Writer, pack, read_frame

NONCE_BYTES = 16
# What a process that has proved nothing yet can make this one read.
MAX_HELLO_BYTES = 1024


def _mac(secret: str, role: str, nonce: bytes, vm_id: str) -> bytes:
    payload = role.encode() + b"\0" + nonce + vm_id.encode()
    return hmac.new(secret.encode(), payload, hashlib.sha256).digest()


async def _read_hello(reader: asyncio.StreamReader) -> Hello:
    frame = await read_frame(reader, MAX_HELLO_BYTES)
    if not isinstance(frame.message, Hello):
        raise PeerRejected("the peer did not open with Hello")
    if len(frame.message.nonce) != NONCE_BYTES:
        # Nonce and vm_id follow each other in the MAC, so their border is fixed.
        raise PeerRejected("the peer's nonce has a wrong length")
    return frame.message


def _verify_mac(hello: Hello, secret: str, role: str, nonce: bytes) -> None:
    if not hmac.compare_digest(hello.mac, _mac(secret, role, nonce, hello.vm_id)):
        raise PeerRejected(f"{hello.vm_id} does not know the fleet secret")


async def client_handshake(
    reader: asyncio.StreamReader, writer: Writer, vm_id: str, secret: str
) -> str:
    """Opens a connection and returns the peer's vm_id; raises `PeerRejected`."""
    nonce = secrets.token_bytes(NONCE_BYTES)
    writer.write(pack(Frame(0, Hello(vm_id, nonce, b""))))
    await writer.drain()
    hello = await _read_hello(reader)
    _verify_mac(hello, secret, "server", nonce)
    mac = _mac(secret, "client", hello.nonce, vm_id)
    writer.write(pack(Frame(0, Hello(vm_id, nonce, mac))))
    await writer.drain()
    return hello.vm_id


async def server_handshake(
    reader: asyncio.StreamReader, writer: Writer, vm_id: str, secret: str
) -> str:
    """Accepts a connection and returns the peer's vm_id; raises `PeerRejected`."""
    client_hello = await _read_hello(reader)
    nonce = secrets.token_bytes(NONCE_BYTES)
    mac = _mac(secret, "server", client_hello.nonce, vm_id)
    writer.write(pack(Frame(0, Hello(vm_id, nonce, mac))))
    await writer.drain()
    hello = await _read_hello(reader)
    _verify_mac(hello, secret, "client", nonce)
    return hello.vm_id
