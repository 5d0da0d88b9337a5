"""Tests of the daemon process: settings, TLS, metrics, state dumps and secrets."""

import asyncio
import re
import signal
import socket
import ssl
from datetime import UTC, datetime, timedelta
from ipaddress import ip_address
from pathlib import Path

import aiohttp
import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from damasksaddle_cli.__main__ import run as run_cli
from damasksaddle_node.commands.serve import run
from damasksaddle_standins.processes import Processes

SECRET = "fleet-secret-of-this-test"
TOKEN = "operator-token-of-this-test"
ENV = {"DAMASKSADDLE_FLEET_SECRET": SECRET, "DAMASKSADDLE_OPERATOR_TOKEN": TOKEN}
BODY = "words-of-a-caller"
DOCUMENT = """\
service: desk
pools:
  writer:
    kind: model
    model: lv
    upstreams: [{name: run-1, url: "URL", failure_domain: a}]
routes: {chat: {pool: writer}}
workspaces: {ngo: {rate_per_s: 10, burst: 10}}
"""
VALID_SETTINGS = {
    "name": "vm-1",
    "failure-domain": "a",
    "table-url": "http://127.0.0.1:1",
    "objects-url": "http://127.0.0.1:1",
    "vm-list-url": "http://127.0.0.1:1",
    "fleet-secret": SECRET,
}
# Cases are separated by "|"; an empty value leaves the setting out.
INVALID_SETTINGS = """
name= | name=VM_1 | table-url=file:///etc | table-url=http://host:99999
| fleet-secret= | fleet-secret=short | operator-token=short
| http-port=70000 | http-port=http | http-host=0.0.0.0 | peer-host=::
| peer-address=10.0.0.1 | lease-s=nan | freshness-s=3 lease-s=3 | poll-s=3
| freshness-s=9 | peer-timeout-s=7 | accept-wait-s=4 | hold-s=700 | streams=0
| max-body-bytes=9000000 | log-level=loud | http-tls-cert=cert.pem
| peer-tls-cert=a peer-tls-key=b | http-tls-cert=/nix/cert http-tls-key=/nix/key
| outgoing-ca=/nix/ca | metrics-port=-1 | metrics-port=70000 | leese-s=6
"""


def test_wrong_settings(capsys, monkeypatch, snapshot):
    """Guards against a node that starts with invalid settings."""

    def fail_to_resolve(host, *_, **__):
        raise socket.gaierror(-2, "Name or service not known")

    monkeypatch.setattr(socket, "getaddrinfo", fail_to_resolve)
    for changes in INVALID_SETTINGS.split("|"):
        options = VALID_SETTINGS | dict(
            change.split("=", 1) for change in changes.split()
        )
        assert run([f"--{k}={v}" for k, v in options.items() if v]) == 2
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == INVALID_SETTINGS.count("|") + 1
    assert lines == snapshot


def test_every_setting_has_a_variable(capsys, monkeypatch):
    """Guards against a setting that has a flag but no environment variable."""
    for name, value in VALID_SETTINGS.items():
        monkeypatch.setenv(f"DAMASKSADDLE_{name.replace('-', '_').upper()}", value)
    monkeypatch.setenv("DAMASKSADDLE_STREAM_GRACE_S", "6")
    assert run([]) == 2
    assert "--stream-grace-s: Input should be less" in capsys.readouterr().err


class CertificateAuthority:
    """A certificate authority that writes certificates and keys to a directory."""

    def __init__(self, path: Path, name: str) -> None:
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        self.path = path
        self._write(f"{name}.pem", self._sign(self.name, self.key, ca=True))
        self.file = str(path / f"{name}.pem")

    def _sign(self, subject, key, ca: bool) -> x509.Certificate:
        now = datetime.now(UTC)
        names = [x509.IPAddress(ip_address("127.0.0.1"))]
        builder = x509.CertificateBuilder(
            issuer_name=self.name,
            subject_name=subject,
            public_key=key.public_key(),
            serial_number=x509.random_serial_number(),
            not_valid_before=now - timedelta(hours=1),
            not_valid_after=now + timedelta(hours=1),
        )
        builder = builder.add_extension(x509.SubjectAlternativeName(names), False)
        builder = builder.add_extension(x509.BasicConstraints(ca, None), True)
        return builder.sign(self.key, hashes.SHA256())

    def _write(self, name: str, item) -> str:
        pem = serialization.Encoding.PEM
        if isinstance(item, x509.Certificate):
            data = item.public_bytes(pem)
        else:
            key_format = serialization.PrivateFormat.PKCS8
            data = item.private_bytes(pem, key_format, serialization.NoEncryption())
        (self.path / name).write_bytes(data)
        return str(self.path / name)

    def issue(self, name: str) -> tuple[str, str]:
        """Issues a certificate; returns the paths of the certificate and its key."""
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        cert = self._write(f"{name}.cert", self._sign(subject, key, ca=False))
        return cert, self._write(f"{name}.key", key)


async def start_node(processes: Processes, platform: str, name: str, *flags: str):
    urls = [f"--{kind}-url={platform}" for kind in ("table", "objects", "vm-list")]
    arguments = ["--name", name, "--failure-domain", "a", *urls, *flags]
    return await processes.start("damasksaddle_node", *arguments, env=ENV)


async def cli(url: str, *arguments: str) -> int:
    global_options = ["--admin-url", url, "--operator-token", TOKEN]
    return await asyncio.to_thread(run_cli, [*global_options, *arguments])


async def chat(url: str, key: str, tls: ssl.SSLContext | bool = True) -> int:
    message = {"role": "user", "content": BODY}
    body = {"model": "desk/chat", "messages": [message], "max_tokens": 3}
    headers = {"Authorization": f"Bearer {key}"}
    async with (
        aiohttp.ClientSession(url, headers=headers) as session,
        session.post("/v1/chat/completions", json=body, ssl=tls) as response,
    ):
        await response.read()
        return response.status


async def peer_keeps_connection(address: str, context: ssl.SSLContext | None) -> bool:
    """Returns whether a node keeps a connection open after the TLS handshake."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(2):
            reader, writer = await asyncio.open_connection(host, port, ssl=context)
            writer.write(b"\0\0\0\1x")
            return await reader.read(1) != b""
    except TimeoutError:
        return True
    except OSError:
        return False


@pytest.mark.processes
async def test_tls(tmp_path, capsys):
    """Guards against unencrypted APIs and peers without a trusted certificate."""
    authority, other_authority = (
        CertificateAuthority(tmp_path, "ca"),
        CertificateAuthority(tmp_path, "other"),
    )
    cert, key = authority.issue("node")
    flags = ["--peer-tls-ca", authority.file]
    for kind in ("http", "admin", "peer"):
        flags += [f"--{kind}-tls-cert", cert, f"--{kind}-tls-key", key]
    (tmp_path / "desk.yaml").write_text(DOCUMENT.replace("URL", "http://run"))
    async with Processes(tmp_path / "log") as processes:
        platform = (await processes.start("damasksaddle_standins", "platform")).ready[0]
        nodes = [
            await start_node(processes, platform, f"vm-{n}", *flags) for n in (1, 2)
        ]
        _, http_url, admin_url = nodes[0].ready
        assert http_url.startswith("https://") and admin_url.startswith("https://")
        apply = ("apply", str(tmp_path / "desk.yaml"))
        # A majority of two nodes is both, so "accepted" requires a connection between
        # them.
        assert await cli(admin_url, "--ca-file", authority.file, *apply) == 0
        assert await cli(admin_url, "--ca-file", other_authority.file, *apply) == 1
        assert await cli(admin_url.replace("https", "http"), *apply) != 0
        tls = ssl.create_default_context(cafile=authority.file)
        assert await chat(http_url, "", tls) == 401
        with pytest.raises(aiohttp.ClientConnectorError):
            await chat(http_url, "")
        capsys.readouterr()
        await cli(admin_url, "--ca-file", authority.file, "vms")
        address = capsys.readouterr().out.splitlines()[1].split()[3]
        untrusted = ssl.create_default_context(cafile=authority.file)
        assert not await peer_keeps_connection(address, untrusted)
        untrusted.load_cert_chain(*other_authority.issue("stranger"))
        assert not await peer_keeps_connection(address, untrusted)
        assert not await peer_keeps_connection(address, None)


async def read_metrics(log: str) -> str:
    """Reads the address of a node's metrics from its log and returns the metrics."""
    match = re.search(r"Metrics are served\. address=\('([^']+)', (\d+)\)", log)
    assert match is not None
    url = f"http://{match[1]}:{match[2]}/metrics"
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        return await response.text()


@pytest.mark.processes
async def test_output_contains_no_secrets(tmp_path, capsys):
    """Guards against keys, tokens and bodies in logs, metrics and state dumps."""
    async with Processes(tmp_path / "log") as processes:
        standins = "damasksaddle_standins"
        platform = (await processes.start(standins, "platform")).ready[0]
        engine = (await processes.start(standins, "engine")).ready[0]
        text = DOCUMENT.replace("URL", engine)
        (tmp_path / "desk.yaml").write_text(text)
        flags = ("--log-level", "debug")
        node = await start_node(processes, platform, "vm-1", *flags)
        _, http_url, admin_url = node.ready
        await cli(admin_url, "apply", str(tmp_path / "desk.yaml"))
        capsys.readouterr()
        await cli(admin_url, "keys", "give", "ngo")
        key = capsys.readouterr().out.strip()
        assert await chat(http_url, key) == 200
        assert await chat(http_url, key + "0") == 401
        node.signal(signal.SIGUSR1)
        await cli(admin_url, "dump")
        dump = capsys.readouterr().out
        async with asyncio.timeout(5):
            while "State of this VM" not in (tmp_path / "log").read_text():
                await asyncio.sleep(0.05)
        metrics = await read_metrics((tmp_path / "log").read_text())
    for name in (
        'requests_total{detail=""} 1.0',
        'refusals_total{detail="key_rejected"} 1.0',
        "rate_wait_ms_count 1.0",
        "queue_wait_ms_count 1.0",
        "first_token_ms_count 1.0",
        "call_ms_count 1.0",
        "commit_time_ms_count",
    ):
        assert f"damasksaddle_{name}" in metrics
    assert re.search(r"damasksaddle_commit_rows_total\{[^}]*\} [1-9]", metrics)
    output = (tmp_path / "log").read_text() + dump + metrics
    for secret in (key, key.split("_")[2], SECRET, TOKEN, BODY, "w0 w1"):
        assert secret not in output
