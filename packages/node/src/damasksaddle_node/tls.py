"""Creates TLS contexts from the certificate files in the settings."""

import ssl
from dataclasses import dataclass

from damasksaddle.exceptions import SettingsInvalid
from damasksaddle_node.settings import TlsFiles


@dataclass(frozen=True, slots=True)
class Tls:
    """The TLS contexts of a node; None means a connection without TLS."""

    callers: ssl.SSLContext | None = None
    operators: ssl.SSLContext | None = None
    peer_server: ssl.SSLContext | None = None
    peer_client: ssl.SSLContext | None = None
    outgoing: ssl.SSLContext | None = None


def load_tls(files: TlsFiles) -> Tls:
    """Returns the contexts; raises `SettingsInvalid` if a file cannot be loaded."""
    return Tls(
        callers=_server_context("http", files.http_tls_cert, files.http_tls_key),
        operators=_server_context("admin", files.admin_tls_cert, files.admin_tls_key),
        peer_server=_peer_context(files, ssl.Purpose.CLIENT_AUTH),
        peer_client=_peer_context(files, ssl.Purpose.SERVER_AUTH),
        outgoing=_outgoing_context(files.outgoing_ca),
    )


def _server_context(flag: str, cert: str, key: str) -> ssl.SSLContext | None:
    if not cert:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    _load_chain(context, flag, cert, key)
    return context


def _peer_context(files: TlsFiles, purpose: ssl.Purpose) -> ssl.SSLContext | None:
    if not files.peer_tls_cert:
        return None
    context = ssl.create_default_context(purpose)
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    # VMs are replaced at any time, so certificates cannot contain their addresses.
    # The CA belongs to the fleet, and `Hello` proves the identity of the peer.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    _load_chain(context, "peer", files.peer_tls_cert, files.peer_tls_key)
    _load_ca(context, "--peer-tls-ca", files.peer_tls_ca)
    return context


def _outgoing_context(ca: str) -> ssl.SSLContext | None:
    if not ca:
        return None
    context = ssl.create_default_context()
    _load_ca(context, "--outgoing-ca", ca)
    return context


def _load_chain(context: ssl.SSLContext, flag: str, cert: str, key: str) -> None:
    try:
        # An encrypted key must raise an error. Without a password argument, OpenSSL
        # would prompt for one on the terminal.
        context.load_cert_chain(cert, key, password="")
    except (OSError, ssl.SSLError, ValueError) as error:
        raise SettingsInvalid(
            f"--{flag}-tls-cert and --{flag}-tls-key: {_error_reason(error)}"
        ) from error


def _load_ca(context: ssl.SSLContext, flag: str, path: str) -> None:
    try:
        context.load_verify_locations(path)
    except (OSError, ssl.SSLError) as error:
        raise SettingsInvalid(f"{flag}: {_error_reason(error)}") from error


def _error_reason(error: Exception) -> str:
    if isinstance(error, ssl.SSLError):
        return f"cannot be loaded ({error.reason or error})"
    return str(error)
