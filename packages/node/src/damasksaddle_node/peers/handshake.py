"""
Mutual authentication of peers with the fleet secret.

Each side sends a random nonce and receives an HMAC over it, so a recorded handshake
cannot be replayed by a process that does not know the secret.
"""

import asyncio
import hashlib
import hmac
import secrets

from damasksaddle.exceptions import PeerRejected
from damasksaddle_protocol import Frame, FrameWriter, Hello, pack_frame, read_frame

NONCE_BYTES = 16
# Limits what an unauthenticated process can make this one read.
MAX_HELLO_BYTES = 1024


def _mac(secret: str, role: str, nonce: bytes, vm_id: str) -> bytes:
    payload = role.encode() + b"\0" + nonce + vm_id.encode()
    return hmac.new(secret.encode(), payload, hashlib.sha256).digest()


async def _read_hello(reader: asyncio.StreamReader) -> Hello:
    frame = await read_frame(reader, MAX_HELLO_BYTES)
    if not isinstance(frame.message, Hello):
        raise PeerRejected("the first message of the peer is not Hello")
    if len(frame.message.nonce) != NONCE_BYTES:
        # The MAC input concatenates nonce and vm_id, which is unambiguous only if the
        # nonce has a fixed length.
        raise PeerRejected("the peer's nonce has an invalid length")
    return frame.message


def _verify_mac(hello: Hello, secret: str, role: str, nonce: bytes) -> None:
    if not hmac.compare_digest(hello.mac, _mac(secret, role, nonce, hello.vm_id)):
        raise PeerRejected(f"{hello.vm_id} uses another fleet secret")


async def client_handshake(
    reader: asyncio.StreamReader, writer: FrameWriter, vm_id: str, secret: str
) -> str:
    """
    Authenticates an outgoing connection and returns the peer's vm_id.

    Raises `PeerRejected`.
    """
    nonce = secrets.token_bytes(NONCE_BYTES)
    writer.write(pack_frame(Frame(0, Hello(vm_id, nonce, b""))))
    await writer.drain()
    hello = await _read_hello(reader)
    _verify_mac(hello, secret, "server", nonce)
    mac = _mac(secret, "client", hello.nonce, vm_id)
    writer.write(pack_frame(Frame(0, Hello(vm_id, nonce, mac))))
    await writer.drain()
    return hello.vm_id


async def server_handshake(
    reader: asyncio.StreamReader, writer: FrameWriter, vm_id: str, secret: str
) -> str:
    """
    Authenticates an accepted connection and returns the peer's vm_id.

    Raises `PeerRejected`.
    """
    client_hello = await _read_hello(reader)
    nonce = secrets.token_bytes(NONCE_BYTES)
    mac = _mac(secret, "server", client_hello.nonce, vm_id)
    writer.write(pack_frame(Frame(0, Hello(vm_id, nonce, mac))))
    await writer.drain()
    hello = await _read_hello(reader)
    _verify_mac(hello, secret, "client", nonce)
    return hello.vm_id
