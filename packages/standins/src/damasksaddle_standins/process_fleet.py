"""A fleet of node processes and stand-in processes that communicate over loopback."""

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any

import aiohttp

from damasksaddle_standins.processes import Process, Processes

STANDINS_MODULE = "damasksaddle_standins"
NODE_SECRETS = {
    "DAMASKSADDLE_FLEET_SECRET": "fleet secret of the stand-ins",
    "DAMASKSADDLE_OPERATOR_TOKEN": "operator",
}
# On a busy machine, imports are slow if many processes start at the same time.
MAX_CONCURRENT_STARTS = 4
HTTP_OK = 200
RETRY_INTERVAL_S = 0.2


@dataclass(slots=True)
class ProcessFleet:
    """
    The processes of one fleet by name; `flags` are passed to every node.

    Use it as `async with ProcessFleet(Processes(log_path)) as fleet`.
    """

    processes: Processes
    flags: tuple[str, ...] = ()
    platform: Process | None = None
    engines: dict[str, Process] = field(default_factory=dict)
    tools: dict[str, Process] = field(default_factory=dict)
    nodes: dict[str, Process] = field(default_factory=dict)
    session: aiohttp.ClientSession = field(init=False)

    async def __aenter__(self) -> "ProcessFleet":
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            headers={"Authorization": "Bearer operator"},
        )
        await self.processes.__aenter__()
        self.platform = await self.processes.start(STANDINS_MODULE, "platform")
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.session.close()
        await self.processes.__aexit__(*error)

    async def start_engine(self, name: str, *flags: str) -> None:
        """Starts a model engine."""
        self.engines[name] = await self.processes.start(
            STANDINS_MODULE, "engine", "--name", name, *flags
        )

    async def start_tool(self, name: str, *flags: str) -> None:
        """Starts a plain service."""
        self.tools[name] = await self.processes.start(
            STANDINS_MODULE, "tool", "--name", name, *flags
        )

    async def start_node(self, name: str, *flags: str) -> Process:
        """Starts a node; consecutive nodes rotate over three failure domains."""
        platform = self.platform_url
        node = await self.processes.start(
            "damasksaddle_node",
            *("--name", name, "--failure-domain", "abc"[len(self.nodes) % 3]),
            *("--table-url", platform, "--objects-url", platform),
            *("--vm-list-url", platform, "--log-level", "warning"),
            *self.flags,
            *flags,
            env=NODE_SECRETS,
        )
        self.nodes[name] = node
        return node

    async def start_nodes(self, size: int) -> None:
        """Starts nodes `vm0` to `vm{size - 1}`."""
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_STARTS)

        async def start(name: str) -> None:
            async with semaphore:
                await self.start_node(name)

        await asyncio.gather(*(start(f"vm{number}") for number in range(size)))

    @property
    def platform_url(self) -> str:
        """The URL of the platform."""
        assert self.platform is not None
        return self.platform.ready[0]

    def url(self, node: str) -> str:
        """Returns the URL of a node for callers."""
        return self.nodes[node].ready[1]

    def admin_url(self, node: str) -> str:
        """Returns the admin URL of a node."""
        return self.nodes[node].ready[2]

    async def admin_request(
        self, node: str, method: str, path: str, body: Any = None
    ) -> tuple[int, Any]:
        """Sends an admin request; returns the status and the JSON response."""
        url = f"{self.admin_url(node)}/admin/{path}"
        async with self.session.request(method, url, json=body) as response:
            return response.status, await response.json()

    async def apply(self, node: str, document: dict[str, Any]) -> int:
        """Applies a service document; returns the status."""
        return (
            await self.admin_request(node, "PUT", document_path(document), document)
        )[0]

    async def give_key(self, node: str, workspace: str) -> str:
        """Gives a key for a workspace and returns its text."""
        _, body = await self.admin_request(
            node, "POST", "keys", {"workspace": workspace}
        )
        return body["key"]

    async def standin_request(
        self, process: Process, path: str, body: Any = None
    ) -> Any:
        """Sends GET to a stand-in, or PUT with a body; returns the JSON response."""
        method = "GET" if body is None else "PUT"
        url = process.ready[0] + path
        async with self.session.request(method, url, json=body) as response:
            text = await response.text()
            return json.loads(text) if text else None

    async def set_faults(self, **faults: Any) -> None:
        """Sets the faults that the table of the platform simulates."""
        assert self.platform is not None
        await self.standin_request(self.platform, "/faults", faults)

    async def caller_request(
        self, node: str, key: str, path: str, body: Any, **headers: str
    ) -> tuple[int, Any]:
        """Sends a caller's request; returns status 0 if the connection failed."""
        request_headers = {f"X-Damasksaddle-{k.title()}": v for k, v in headers.items()}
        request_headers["Authorization"] = f"Bearer {key}"
        try:
            async with self.session.post(
                self.url(node) + path, json=body, headers=request_headers
            ) as response:
                return response.status, await response.json()
        except aiohttp.ClientError as error:
            return 0, repr(error)

    async def wait_for_key(self, node: str, key: str) -> None:
        """Waits until a node accepts a key; nodes outside the majority may lag."""
        headers = {"Authorization": f"Bearer {key}"}
        url = f"{self.url(node)}/v1/models"
        while True:
            async with self.session.get(url, headers=headers) as response:
                if response.status == HTTP_OK:
                    return
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def owner_of(self, key: str, program: str) -> str:
        """Returns the name of the VM that owns a program."""
        headers = {"Authorization": f"Bearer {key}"}
        url = f"{self.url('vm0')}/v1/addresses?program={program}"
        async with self.session.get(url, headers=headers) as response:
            vm_id = (await response.json())["addresses"][0]["vm"]
        return vm_id.rpartition("-")[0]

    async def program_not_on_vm0(self, key: str) -> tuple[str, str]:
        """Returns a program that `vm0` does not own, and the VM that owns it."""
        for number in range(100):
            owner = await self.owner_of(key, f"p{number}")
            if owner != "vm0":
                return f"p{number}", owner
        raise RuntimeError("vm0 owns all programs that were tried")

    async def call_until_ok(
        self, node: str, key: str, path: str, body: Any, **headers: str
    ) -> Any:
        """Repeats a call every 0.2 s until it succeeds; returns the response body."""
        while True:
            status, answer = await self.caller_request(node, key, path, body, **headers)
            if status == HTTP_OK:
                return answer
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def stream_completion(
        self,
        node: str,
        key: str,
        body: Any,
        first_text_received: asyncio.Event | None = None,
        **headers: str,
    ) -> tuple[str, bool]:
        """Streams a completion; returns its text and whether it was complete."""
        request_headers = {f"X-Damasksaddle-{k.title()}": v for k, v in headers.items()}
        request_headers["Authorization"] = f"Bearer {key}"
        text, complete = "", False
        async with self.session.post(
            f"{self.url(node)}/v1/chat/completions",
            json={**body, "stream": True},
            headers=request_headers,
        ) as response:
            if response.status != HTTP_OK:
                raise RuntimeError(await response.text())
            async for line in response.content:
                complete = complete or line.startswith(b"data: [DONE]")
                if line.startswith(b"data: {") and b'"choices"' in line:
                    delta = json.loads(line[6:])["choices"][0]["delta"]
                    text += delta.get("content") or ""
                    if first_text_received is not None and text:
                        first_text_received.set()
        return text, complete

    async def prompts(self) -> list[list[str]]:
        """Returns the message contents of each call that the engines received."""
        requests = []
        for engine in self.engines.values():
            seen = await self.standin_request(engine, "/requests")
            requests += [json.loads(r["body"]) for r in seen if "chat" in r["target"]]
        return [
            [message["content"] for message in body["messages"]] for body in requests
        ]

    async def filings(self) -> list[str]:
        """Returns the request bodies that the plain services recorded."""
        bodies: list[str] = []
        for tool in self.tools.values():
            seen = await self.standin_request(tool, "/seen")
            bodies.extend(body for _, _, body in seen["calls"])
        return bodies


def document_path(document: dict[str, Any]) -> str:
    """Returns the admin path of a service document."""
    return f"documents/{document['service']}"


def upstream_entries(
    processes: dict[str, Process], **fields: Any
) -> list[dict[str, Any]]:
    """Returns upstream entries of a service document for stand-in processes."""
    return [
        {"name": name, "url": process.ready[0], "failure_domain": "a", **fields}
        for name, process in processes.items()
    ]
