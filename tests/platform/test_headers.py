"""Headers are decoded once, and only the system sets those that are its own."""

import pytest
from multidict import CIMultiDict, CIMultiDictProxy

from damasksaddle_gateway.routing_config import Upstream, Workspace
from damasksaddle_platform.headers import HeaderCodec

WIRE = HeaderCodec()
UPSTREAM = Upstream("i-1", "llm", "10.0.0.1:80", "a", 4, False)


def _headers(*pairs: tuple[str, str]) -> CIMultiDictProxy[str]:
    return CIMultiDictProxy(CIMultiDict(pairs))


def test_a_turn() -> None:
    """Guards against a budget, size or deadline that is read from another field."""
    facts = WIRE.decode_request(
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
    assert (facts.request_id, facts.key, facts.deadline_ms) == ("r1", "k1", 4000)
    assert facts.program is not None
    assert facts.program.time_left_ms == 5200
    assert facts.program.budget_tokens == 2304
    assert (facts.prompt_tokens, facts.max_output_tokens) == (1840, 288)
    assert facts.prompt_parts == (("5c1e", 800), ("91bd", 410))
    assert facts.startable_program_id() == facts.program.id
    headers = WIRE.upstream_headers(
        facts, UPSTREAM, Workspace("ngo"), 1234.5, "14", priority=12
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
def test_malformed_headers_are_left_aside(pairs: list[tuple[str, str]]) -> None:
    """Guards against a request that ends a process or gets another's key."""
    facts = WIRE.decode_request(_headers(*pairs))
    assert facts.key == ""
    assert facts.deadline_ms is None
    assert facts.prompt_parts == ()


def test_headers_of_one_connection_stay_behind() -> None:
    """Guards against smuggling by headers that name other headers."""
    facts = WIRE.decode_request(
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
    assert list(facts.forwarded) == ["X-Other"]


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
def test_only_what_says_so_has_not_run(
    status: int, headers: dict[str, str], not_run: bool
) -> None:
    """Guards against repeating a request that an upstream may have run."""
    assert WIRE.decode_response(status, CIMultiDict(headers)).not_run is not_run
