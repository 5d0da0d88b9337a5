"""Service documents: problems are found at the border, with their lines."""

from pathlib import Path

import pytest

from damasksaddle.config import RetryPolicy, RouteKind, load_document
from damasksaddle.config.checks import document_warnings
from damasksaddle.exceptions import DocumentInvalid

EXAMPLES = Path(__file__).parents[3] / "examples"
GOOD = """\
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

WRONG = [
    ("model: lv", "modell: lv", "line 5: pools.writer.modell: unknown field; did"),
    ("kind: model", "kind: modle", "line 4: pools.writer.kind: Input should be"),
    ("burst: 10", "burst: 0", "line 16: workspaces.ngo.burst: Input should"),
    ("rate_per_s: 10", "rate_per_s: .inf", "line 16: workspaces.ngo.rate_per_s:"),
    (", burst: 10", "", "line 16: workspaces.ngo.burst: this field is required"),
    ("pool: writer", "pool: writers", "line 13: routes.chat.pool: there is no pool"),
    ("pool: writer", "pool: writer, open: true", "line 13: routes.chat.open: a model"),
    ("pool: writer", "pool: writer, repeat: never", "line 13: routes.chat.repeat:"),
    ("path: /file", "path: file", "line 14: routes.file.path: a path begins"),
    (
        "pool: writer",
        'pool: writer, outcome_path: "/{call_id}"',
        "line 13: routes.chat",
    ),
    ("model: lv", "call_micros: 3", "line 3: pools.writer: a model pool names"),
    ("kind: plain", "kind: plain\n    model: x", "line 10: pools.apps.model: has no"),
    ("name: app-1", "name: run-1", "line 11: pools.apps.upstreams.0.name: another"),
    ("service: desk", "service: Desk", "line 1: service: String should match"),
    ("service: desk", "service: desk\nservice: b", "line 2: found duplicate key"),
    ("service: desk", "service: &a desk\nx: *a", "line 2: aliases are not supported"),
    ("service: desk", "service: \x00", "line 1: special characters are not allowed"),
    ("service: desk", "service: 2026-13-45", "line 1: "),
    ("service: desk", "service: [", "line 3: "),
    ("service: desk", "x: " + "[" * 5000, "line 1: the document is nested deeper"),
    ("service: desk", "a: b\n---\nc: d", "line 2: but found another document"),
    ("service: desk", "#" * 600_000, "line 1: a document has at most 524288 bytes"),
    (GOOD, "- a", "line 1: a document is a mapping"),
    (GOOD, "", "line 1: a document is a mapping"),
]


@pytest.mark.parametrize(("old", "new", "problem"), WRONG, ids=range(len(WRONG)))
def test_problem_has_its_line(old: str, new: str, problem: str):
    """Guards against a wrong document being accepted or crashing its reader."""
    assert old in GOOD
    with pytest.raises(DocumentInvalid) as caught:
        load_document(GOOD.replace(old, new, 1))
    assert any(line.startswith(problem) for line in caught.value.problems), (
        caught.value.problems
    )


def test_text_that_is_not_utf8():
    """Guards against a decoding error that names no line."""
    with pytest.raises(DocumentInvalid, match="line 2: the text is not UTF-8"):
        load_document(b"service: desk\npools: \xff")


def test_recorded_document_skips_new_checks():
    """Guards against a node that cannot replay what an earlier release accepted."""
    text = GOOD.replace("pool: writer", "pool: writer, repeat: never")
    assert load_document(text, recorded=True).routes["chat"].repeat is RetryPolicy.NEVER


def test_missing_workspace_is_a_warning():
    """Guards against refusing a workspace that another document declares."""
    text = GOOD.replace("path: /file", "path: /file, workspaces: [other]")
    assert document_warnings(load_document(text)) == [
        "route file: workspace 'other' must be declared by another document"
    ]


SIZES = {"baltgrants": (3, 5, 3, 8), "imbuto": (4, 5, 4, 8)}
NEVER = {
    "baltgrants": {"filing", "reminders"},
    "imbuto": {"confirmations", "allowances"},
}


@pytest.mark.parametrize("name", SIZES)
def test_examples_are_valid(name: str):
    """Guards against examples that do not have the deployments' sizes."""
    document = load_document((EXAMPLES / f"{name}.yaml").read_bytes())
    upstreams = {RouteKind.MODEL: 0, RouteKind.PLAIN: 0}
    domains = set()
    for pool in document.pools.values():
        upstreams[pool.kind] += len(pool.upstreams)
        domains |= {upstream.failure_domain for upstream in pool.upstreams}
    workspaces = set(document.workspaces) - {"open"}
    assert (len(domains), *upstreams.values(), len(workspaces)) == SIZES[name]
    never = {n for n, r in document.routes.items() if r.repeat is RetryPolicy.NEVER}
    assert never == NEVER[name]
    assert not document_warnings(document)
