"""Tests of the command line, with a whole session against real node processes."""

import asyncio
import io
import json
import re
import signal
from contextlib import redirect_stderr, redirect_stdout

import aiohttp
import pytest

from damasksaddle_cli.__main__ import run
from damasksaddle_cli.commands.programs import explain_calls
from damasksaddle_standins.processes import Processes

TOKEN = "operator-token"
DOCUMENT = """\
service: desk
pools:
  writer:
    kind: model
    model: lv
    output_micros_per_ktoken: 2000
    upstreams:
      - {name: run-1, url: "RUN", failure_domain: a}
  apps:
    kind: plain
    call_micros: 50
    upstreams:
      - {name: app-1, url: "APP", failure_domain: b}
routes:
  chat: {pool: writer}
  file: {pool: apps, path: /file, repeat: never}
workspaces:
  ngo: {rate_per_s: 10, burst: 10}
"""
REPLACEMENTS = [
    (r"dsk_[0-9a-f_]+", "KEY"),
    (r"vm-\d-[0-9a-f]{16}", "VM"),
    (r"\b[0-9a-f]{12}\b", "KEY-ID"),
    (r"127\.0\.0\.1:\d+", "HOST:PORT"),
    (r"\d{4}-\d\d-\d\d \d\d:\d\d:\d\dZ", "WHEN"),
]


class RecordedSession:
    """Runs commands and records their output as a transcript."""

    def __init__(self, *urls: str) -> None:
        self.transcript = ""
        self._global_options = ["--operator-token", TOKEN, "--operator", "ana"]
        for url in urls:
            self._global_options += ["--admin-url", url]

    async def run(self, *arguments: str, record: bool = True) -> tuple[int, str]:
        out, err = io.StringIO(), io.StringIO()
        with redirect_stdout(out), redirect_stderr(err):
            status = await asyncio.to_thread(run, [*self._global_options, *arguments])
        if record:
            output = out.getvalue() + err.getvalue()
            text = f"$ damasksaddle {' '.join(arguments)}\n{output}[exit {status}]\n"
            for pattern, name in REPLACEMENTS:
                text = re.sub(pattern, name, text)
            self.transcript += text
        return status, out.getvalue()


async def start_fleet(processes: Processes, platform: str, size: int):
    env = {
        "DAMASKSADDLE_FLEET_SECRET": "secret-of-the-test-fleet",
        "DAMASKSADDLE_OPERATOR_TOKEN": TOKEN,
    }
    return [
        await processes.start(
            "damasksaddle_node",
            *("--name", f"vm-{n}", "--failure-domain", "abc"[n - 1]),
            *("--table-url", platform, "--objects-url", platform),
            *("--vm-list-url", platform),
            env=env,
        )
        for n in range(1, size + 1)
    ]


@pytest.mark.processes
async def test_operator_session(tmp_path, monkeypatch, snapshot):
    """Guards against commands whose output does not match what the fleet did."""
    monkeypatch.chdir(tmp_path)
    async with Processes(tmp_path / "log") as processes:
        standins = "damasksaddle_standins"
        platform = (await processes.start(standins, "platform")).ready[0]
        engine = (await processes.start(standins, "engine")).ready[0]
        tool = (await processes.start(standins, "tool")).ready[0]
        nodes = await start_fleet(processes, platform, 3)
        text = DOCUMENT.replace("RUN", engine).replace("APP", tool)
        (tmp_path / "desk.yaml").write_text(text)
        (tmp_path / "faster.yaml").write_text(text.replace("burst: 10", "burst: 20"))
        (tmp_path / "wrong.yaml").write_text(text.replace("slots", "s") + "bust: 1\n")
        # Nothing listens at the first address, so the client must try the second one.
        session = RecordedSession("http://127.0.0.1:9", nodes[0].ready[2])
        for line in (
            "validate wrong.yaml",
            "apply wrong.yaml",
            "apply desk.yaml --expected-version 0",
            "apply faster.yaml --expected-version 0",
            "apply faster.yaml --expected-version 1 --format json",
            "show",
            "show desk --version 1 --format text",
            "history desk",
            "diff desk",
            "diff desk --file desk.yaml",
            "show nix",
            "keys give nix",
            "vms",
            "upstreams",
        ):
            await session.run(*line.split())
        _, key = await session.run("keys", "give", "ngo")
        await send_calls(nodes[1].ready[1], key.strip())
        await session.run("programs")
        status, output = await session.run(
            *("explain", "ngo", "p1", "--format", "json"), record=False
        )
        calls = json.loads(output)["calls"]
        assert [c["upstream"] for c in calls] == ["run-1", "app-1"]
        await session.run("explain", "ngo", "nix")
        await session.run("keys", "withdraw", key.split("_")[1])
        await session.run("keys", "list")
        _, output = await session.run("dump", record=False)
        assert json.loads(output)["vm"] == nodes[0].ready[0]
        assert key.strip() not in output
        _, output = await session.run("partitions", record=False)
        assert sum(int(row.split()[1]) for row in output.splitlines()[1:]) == 1024
        for node in nodes[1:]:
            node.signal(signal.SIGSTOP)
        await session.run("apply", "desk.yaml")
        for node in nodes[1:]:
            node.signal(signal.SIGCONT)
        assert session.transcript == snapshot


async def send_calls(url: str, key: str) -> None:
    headers = {"Authorization": f"Bearer {key}", "X-Damasksaddle-Program": "p1"}
    body = {
        "model": "desk/chat",
        "messages": [{"role": "user", "content": "hello"}],
        "max_tokens": 3,
    }
    async with aiohttp.ClientSession(url, headers=headers) as session:
        for path in ("/v1/chat/completions", "/v1/services/desk/file"):
            async with session.post(path, json=body) as response:
                assert response.status == 200, await response.text()


@pytest.mark.processes
async def test_lost_answer_is_reported_as_unknown(tmp_path, monkeypatch, snapshot):
    """Guards against resending a change, or reporting its outcome as known."""
    requests = []

    async def close_without_response(reader, writer):
        requests.append(await reader.readuntil(b"\r\n"))
        writer.close()

    server = await asyncio.start_server(close_without_response, "127.0.0.1", 0)
    url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
    session = RecordedSession(url, url)
    (tmp_path / "desk.yaml").write_text(
        DOCUMENT.replace("RUN", url).replace("APP", url)
    )
    monkeypatch.chdir(tmp_path)
    await session.run("keys", "give", "ngo")
    await session.run("keys", "withdraw", "0123456789ab")
    await session.run("apply", "desk.yaml")
    assert [request.split()[0] for request in requests] == [b"POST", b"DELETE", b"PUT"]
    await session.run("vms")
    server.close()
    assert session.transcript == snapshot


def test_wrong_settings(capsys, snapshot):
    """Guards against settings errors that lack a one-line message and exit status 2."""
    for arguments in (
        ["vms"],
        ["--admin-url", "ftp://x", "vms"],
        ["--admin-url", "http://x", "vms"],
        ["--admin-url", "http://x", "--operator-token", "a\nb", "vms"],
        ["--timeout-s", "soon", "vms"],
        ["--ca-file", "/nix", "vms"],
        ["partition"],
        ["apply"],
        ["completion", "tcsh"],
    ):
        assert run(arguments) == 2
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 9
    assert lines == snapshot


def test_explanation_is_a_table(snapshot):
    """Guards against waits, reasons or costs in the wrong column."""
    waits = {"order_wait_ms": 1, "rate_wait_ms": 20, "queue_wait_ms": 300}
    work = {"cached_tokens": 7, "prompt_tokens": 9, "output_tokens": 3}
    times = {"first_token_ms": 400, "total_ms": 900, "tries": 1, "charge_micros": 6}
    names = {"route": "chat", "upstream": "run-1", "outcome": "ok", "owner_vm": "vm-1"}
    call = {**names, **waits, **work, **times, "reason": "cached prefix"}
    program = {"workspace": "ngo", "program_id": "p1", "service": "desk", "ended": ""}
    costs = {"spent_micros": 12, "budget_micros": 100, "reserved_micros": 0}
    calls = [call, {**call, "upstream": "run-2", "rate_wait_ms": 0}]
    assert explain_calls({**program, **costs, "calls": calls}) == snapshot


@pytest.mark.parametrize("shell", ["bash", "zsh", "fish"])
def test_completion(shell, capsys, monkeypatch):
    """Guards against a completion script that completes the wrong program."""
    assert run(["completion", shell]) == 0
    assert "_DAMASKSADDLE_COMPLETE" in capsys.readouterr().out
    monkeypatch.setenv("_DAMASKSADDLE_COMPLETE", f"{shell}_complete")
    monkeypatch.setenv("COMP_WORDS", "damasksaddle comp")
    monkeypatch.setenv("COMP_CWORD", "1" if shell != "fish" else "comp")
    with pytest.raises(SystemExit):
        run([])
    assert "completion" in capsys.readouterr().out
