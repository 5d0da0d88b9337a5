"""Tests that invalid service documents are rejected with line numbers."""

from pathlib import Path

import pytest

from damasksaddle.config import RetryPolicy, RouteKind, load_document
from damasksaddle.config.checks import document_warnings
from damasksaddle.exceptions import DocumentInvalid

EXAMPLES = Path(__file__).parents[3] / "examples"
VALID_DOCUMENT = """\
service: desk
pools:
  writer:
    kind: model
    model: lv
    upstreams:
      - {name: run-1, url: "http://run-1", failure_domain: a}
  apps:
    kind: plain
    upstreams:
      - {name: app-1, url: "http://app-1", failure_domain: a}
routes:
  chat: {pool: writer}
  file: {pool: apps, path: /file, repeat: never}
workspaces:
  ngo: {rate_per_s: 10, burst: 10}
"""

INVALID_DOCUMENTS = [
    ("model: lv", "modell: lv", "line 5: pools.writer.modell: unknown field; did"),
    ("kind: model", "kind: modle", "line 4: pools.writer.kind: Input should be"),
    ("burst: 10", "burst: 0", "line 16: workspaces.ngo.burst: Input should"),
    ("rate_per_s: 10", "rate_per_s: .inf", "line 16: workspaces.ngo.rate_per_s:"),
    (", burst: 10", "", "line 16: workspaces.ngo.burst: this field is required"),
    ("pool: writer", "pool: writers", "line 13: routes.chat.pool: unknown pool"),
    ("pool: writer", "pool: writer, open: true", "line 13: routes.chat.open: a model"),
    ("pool: writer", "pool: writer, repeat: never", "line 13: routes.chat.repeat:"),
    ("path: /file", "path: file", "line 14: routes.file.path: must start"),
    (
        "pool: writer",
        'pool: writer, outcome_path: "/{call_id}"',
        "line 13: routes.chat",
    ),
    ("model: lv", "call_micros: 3", "line 3: pools.writer: a model pool requires"),
    (
        "kind: plain",
        "kind: plain\n    model: x",
        "line 10: pools.apps.model: not allowed",
    ),
    ("name: app-1", "name: run-1", "line 11: pools.apps.upstreams.0.name: another"),
    ("service: desk", "service: Desk", "line 1: service: String should match"),
    ("service: desk", "service: desk\nservice: b", "line 2: found duplicate key"),
    ("service: desk", "service: &a desk\nx: *a", "line 2: aliases are not supported"),
    ("service: desk", "service: \x00", "line 1: special characters are not allowed"),
    ("service: desk", "service: 2026-13-45", "line 1: "),
    ("service: desk", "service: [", "line 3: "),
    ("service: desk", "x: " + "[" * 5000, "line 1: the document is nested deeper"),
    ("service: desk", "a: b\n---\nc: d", "line 2: but found another document"),
    ("service: desk", "#" * 600_000, "line 1: the document exceeds 524288 bytes"),
    (VALID_DOCUMENT, "- a", "line 1: the document must be a mapping"),
    (VALID_DOCUMENT, "", "line 1: the document must be a mapping"),
]


@pytest.mark.parametrize(
    ("valid_text", "invalid_text", "problem"),
    INVALID_DOCUMENTS,
    ids=range(len(INVALID_DOCUMENTS)),
)
def test_problem_names_its_line(valid_text: str, invalid_text: str, problem: str):
    """Guards against accepting an invalid document or failing with an untyped error."""
    assert valid_text in VALID_DOCUMENT
    with pytest.raises(DocumentInvalid) as raised:
        load_document(VALID_DOCUMENT.replace(valid_text, invalid_text, 1))
    assert any(line.startswith(problem) for line in raised.value.problems), (
        raised.value.problems
    )


def test_non_utf8_text_is_rejected():
    """Guards against a decoding error without a line number."""
    with pytest.raises(DocumentInvalid, match="line 2: the text is not UTF-8"):
        load_document(b"service: desk\npools: \xff")


def test_recorded_document_skips_cross_checks():
    """Guards against failing to replay a document that an earlier release accepted."""
    text = VALID_DOCUMENT.replace("pool: writer", "pool: writer, repeat: never")
    assert load_document(text, recorded=True).routes["chat"].repeat is RetryPolicy.NEVER


def test_undeclared_workspace_is_a_warning():
    """Guards against rejecting a workspace that another document declares."""
    text = VALID_DOCUMENT.replace("path: /file", "path: /file, workspaces: [other]")
    assert document_warnings(load_document(text)) == [
        "route file: workspace 'other' must be declared by another document"
    ]


EXAMPLE_SIZES = {"baltgrants": (3, 5, 3, 8), "imbuto": (4, 5, 4, 8)}
NON_RETRYABLE_ROUTES = {
    "baltgrants": {"filing", "reminders"},
    "imbuto": {"confirmations", "allowances"},
}


@pytest.mark.parametrize("name", EXAMPLE_SIZES)
def test_examples_have_the_deployment_sizes(name: str):
    """Guards against examples whose sizes differ from those of the deployments."""
    document = load_document((EXAMPLES / f"{name}.yaml").read_bytes())
    upstreams = {RouteKind.MODEL: 0, RouteKind.PLAIN: 0}
    domains = set()
    for pool in document.pools.values():
        upstreams[pool.kind] += len(pool.upstreams)
        domains |= {upstream.failure_domain for upstream in pool.upstreams}
    workspaces = set(document.workspaces) - {"open"}
    assert (len(domains), *upstreams.values(), len(workspaces)) == EXAMPLE_SIZES[name]
    never = {n for n, r in document.routes.items() if r.repeat is RetryPolicy.NEVER}
    assert never == NON_RETRYABLE_ROUTES[name]
    assert not document_warnings(document)
