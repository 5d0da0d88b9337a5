"""Tests decoding request headers and setting those that the gateway controls."""

import pytest
from multidict import CIMultiDict, CIMultiDictProxy

from damasksaddle_gateway.routing_config import Upstream, Workspace
from damasksaddle_platform.headers import PlatformHeaderCodec

CODEC = PlatformHeaderCodec()
UPSTREAM = Upstream("i-1", "llm", "10.0.0.1:80", "a", 4, False)


def _headers(*pairs: tuple[str, str]) -> CIMultiDictProxy[str]:
    return CIMultiDictProxy(CIMultiDict(pairs))


def test_turn_headers() -> None:
    """Guards against reading a budget, size or deadline from another header."""
    request = CODEC.decode_request(
        _headers(
            ("X-Request-Id", "r1"),
            ("Authorization", "Token k1"),
            ("X-Deadline-Ms", "4000"),
            ("X-Program-Id", "p1"),
            ("X-Session-Id", "s1"),
            ("X-Program-Deadline-Ms", "5200"),
            ("X-Token-Budget", "2304"),
            ("X-Token-Count", "1840,288"),
            ("X-Prompt-Prefix", "5c1e:800,91bd:410"),
            ("Last-Event-Id", "12"),
        )
    )
    assert (request.request_id, request.key, request.deadline_ms) == ("r1", "k1", 4000)
    assert request.program is not None
    assert request.program.time_left_ms == 5200
    assert request.program.budget_tokens == 2304
    assert (request.prompt_tokens, request.max_output_tokens) == (1840, 288)
    assert request.prompt_parts == (("5c1e", 800), ("91bd", 410))
    assert request.startable_program_id() == request.program.id
    headers = CODEC.upstream_headers(
        request, UPSTREAM, Workspace("ngo"), 1234.5, "14", priority=12
    )
    assert headers["X-Deadline-Ms"] == "1234"
    assert headers["Last-Event-Id"] == "14"
    assert headers["X-Program-Priority"] == "9"
    assert headers["X-Token-Budget"] == "2304"


@pytest.mark.parametrize(
    "pairs",
    [
        [("X-Token-Count", "many")],
        [("X-Token-Count", "1,2,3")],
        [("X-Deadline-Ms", "soon")],
        [("X-Prompt-Prefix", ":::,x:-1,")],
        [("X-Program-Id", "p"), ("X-Token-Budget", "")],
        [("Authorization", "Basic k1")],
    ],
)
def test_malformed_headers_are_ignored(pairs: list[tuple[str, str]]) -> None:
    """Guards against malformed headers that raise an error or yield a key."""
    request = CODEC.decode_request(_headers(*pairs))
    assert request.key == ""
    assert request.deadline_ms is None
    assert request.prompt_parts == ()


def test_connection_headers_are_not_forwarded() -> None:
    """Guards against header smuggling through the Connection header."""
    request = CODEC.decode_request(
        _headers(
            ("Connection", "keep-alive, X-Private"),
            ("X-Private", "1"),
            ("Transfer-Encoding", "chunked"),
            ("Content-Length", "3"),
            ("X-Kv-Backup", "1.2.3.4:5"),
            ("X-Pin-Ms", "9"),
            ("X-Expect-Version", "2"),
            ("X-Other", "kept"),
        )
    )
    assert list(request.forwarded) == ["X-Other"]


@pytest.mark.parametrize(
    ("status", "headers", "not_run"),
    [
        (503, {"X-Not-Executed": "1"}, True),
        (429, {"x-not-executed": "1"}, True),
        (421, {}, True),
        (503, {}, False),
        (500, {"X-Server-Signature": "s"}, False),
    ],
)
def test_not_run_requires_an_explicit_signal(
    status: int, headers: dict[str, str], not_run: bool
) -> None:
    """Guards against retrying a request that an upstream may have run."""
    assert CODEC.decode_response(status, CIMultiDict(headers)).not_run is not_run


@pytest.mark.parametrize(
    ("values", "leaving"),
    [
        (["1"], True),
        (["0", " 1\t"], True),
        (["1, 1"], True),
        ([], False),
        (["0"], False),
        (["11", "yes", ",", "9" * 5000], False),
    ],
)
def test_an_upstream_leaves_if_any_value_says_so(
    values: list[str], leaving: bool
) -> None:
    """Guards against sending to an upstream that leaves, or losing a sound one."""
    headers = CIMultiDict(("SERVER-leaving", value) for value in values)
    assert CODEC.decode_response(503, headers).leaving is leaving


@pytest.mark.parametrize("number", ["inf", "-inf", "nan", "1e999", "9" * 5000])
def test_numbers_out_of_range_are_ignored(number: str) -> None:
    """Guards against a request that fails in the gateway for a number in a header."""
    names = ("X-Deadline-Ms", "X-Program-Deadline-Ms", "X-Token-Budget")
    request = CODEC.decode_request(
        _headers(
            ("X-Program-Id", "p1"),
            ("X-Token-Count", f"{number},{number}"),
            ("X-Prompt-Prefix", f"5c1e:{number}"),
            *((name, number) for name in names),
        )
    )
    assert request.program is not None
    assert request.deadline_ms is None
    assert request.program.time_left_ms is None
    assert request.program.budget_tokens is None
    assert (request.prompt_tokens, request.max_output_tokens) == (0, 0)
    assert request.prompt_parts == ()
