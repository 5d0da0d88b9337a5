"""
Writes docs/reference.md from the models and commands that it describes.

Run it after a change of a setting, a document's field, a command, a metric or a
refusal: `python tools/make_reference.py`. A test checks that the page is current.
"""

import sys
from collections.abc import Iterator
from enum import StrEnum
from pathlib import Path
from types import UnionType
from typing import Any, get_args, get_origin

import click
from pydantic import BaseModel
from pydantic.fields import FieldInfo
from pydantic_core import PydanticUndefined

from damasksaddle.config import (
    Pool,
    ProgramLimits,
    Route,
    ServiceDocument,
    Upstream,
    Workspace,
)
from damasksaddle.exceptions import Refusal
from damasksaddle.utils.metrics import DESCRIPTIONS, Counter
from damasksaddle_cli.__main__ import cli
from damasksaddle_node.settings_input import RELATIONS, SettingsInput, variable_of

REFERENCE_PAGE = Path(__file__).parents[1] / "docs" / "reference.md"
PAGE_HEADER = """\
# Reference

This page is made from the code by `python tools/make_reference.py`.
"""
DOCUMENT_MODELS: dict[str, type[BaseModel]] = {
    "Document": ServiceDocument,
    "Pool": Pool,
    "Upstream": Upstream,
    "Route": Route,
    "Workspace": Workspace,
    "ProgramLimits": ProgramLimits,
}
CONSTRAINT_WORDS = {"ge": "at least", "gt": "above", "le": "at most", "lt": "below"}


def _escape_cell(text: str) -> str:
    return " ".join(text.split()).replace("|", "\\|")


def _render_table(columns: list[str], rows: list[list[str]]) -> str:
    lines = [columns, ["---"] * len(columns), *rows]
    return "\n".join(
        "| " + " | ".join(map(_escape_cell, line)) + " |" for line in lines
    )


def _type_text(annotation: Any) -> str:
    if get_origin(annotation) is UnionType:
        members = [item for item in get_args(annotation) if item is not type(None)]
        return " or ".join(map(_type_text, members))
    if hasattr(annotation, "__metadata__"):
        return _type_text(get_args(annotation)[0])
    origin, arguments = get_origin(annotation), get_args(annotation)
    if origin is list:
        return f"list of {_type_text(arguments[0])}"
    if origin is dict:
        return f"mapping of names to {_type_text(arguments[1])}"
    if arguments:
        return " or ".join(f"`{value}`" for value in arguments)
    if isinstance(annotation, type) and issubclass(annotation, StrEnum):
        return " or ".join(f"`{member}`" for member in annotation)
    names = {
        "str": "text",
        "int": "integer",
        "float": "number",
        "bool": "true or false",
    }
    names |= {"SecretStr": "text"}
    return names.get(annotation.__name__, annotation.__name__)


def _constraint_text(field: FieldInfo) -> str:
    constraints = []
    for item in field.metadata:
        for name, words in CONSTRAINT_WORDS.items():
            value = getattr(item, name, None)
            if value is not None:
                constraints.append(f"{words} {value}")
    return ", ".join(constraints)


def _default_text(field: FieldInfo) -> str:
    if field.default is PydanticUndefined:
        return "required"
    if isinstance(field.default, bool):
        return f"`{str(field.default).lower()}`"
    if field.default is None or isinstance(field.default, BaseModel):
        return ""
    text = str(getattr(field.default, "get_secret_value", lambda: field.default)())
    return f"`{text}`" if text not in ("", "{}") else ""


def _settings_blocks() -> Iterator[str]:
    yield "## Settings of damasksaddled"
    yield (
        "Each setting is a flag or an environment variable; the flag wins. A wrong "
        "setting gives one line and exit status 2."
    )
    rows = []
    for name, field in SettingsInput.model_fields.items():
        flag = "--" + name.replace("_", "-")
        limits = _constraint_text(field)
        meaning = (field.description or "") + (f" ({limits})" if limits else "")
        rows.append(
            [f"`{flag}`", f"`{variable_of(name)}`", _default_text(field), meaning]
        )
    yield _render_table(["Flag", "Variable", "Default", "Meaning"], rows)
    yield "These relations must hold:"
    yield "\n".join(f"- {relation}" for relation in RELATIONS)


def _document_blocks() -> Iterator[str]:
    yield "## Service documents"
    yield (
        "YAML in UTF-8, at most 512 KiB, without aliases. Names have lower-case "
        "letters, digits and `-`. Unknown fields are refused."
    )
    for title, model in DOCUMENT_MODELS.items():
        yield f"### {title}"
        rows = []
        for name, field in model.model_fields.items():
            type_text = ", ".join(
                filter(None, [_type_text(field.annotation), _constraint_text(field)])
            )
            rows.append(
                [f"`{name}`", type_text, _default_text(field), field.description or ""]
            )
        yield _render_table(["Field", "Type", "Default", "Meaning"], rows)


def _command_blocks(
    command: click.Command, parent: click.Context | None, name: str
) -> Iterator[str]:
    context = click.Context(command, parent=parent, info_name=name)
    # Options of parents belong to the usage line only.
    context.terminal_width = context.max_content_width = 80
    yield f"### {context.command_path}"
    yield "```text\n" + command.get_help(context) + "\n```"
    if isinstance(command, click.Group):
        for child in command.list_commands(context):
            subcommand = command.get_command(context, child)
            assert subcommand is not None
            yield from _command_blocks(subcommand, context, child)


def _metric_blocks() -> Iterator[str]:
    yield "## Metrics"
    yield (
        "Served as text on `/metrics` of the metrics address. Names begin with "
        "`damasksaddle_`, with `_` for each dot; counters end in `_total`, and times "
        "are histograms in milliseconds that end in `_ms`."
    )
    rows = [
        [
            f"`{name}`, by code" if name == Counter.REFUSALS else f"`{name}`",
            "counter" if isinstance(name, Counter) else "time",
            meaning,
        ]
        for name, meaning in DESCRIPTIONS.items()
    ]
    yield _render_table(["Name", "Kind", "Meaning"], rows)


def _refusal_blocks() -> Iterator[str]:
    yield "## Refusals"
    yield (
        "The code is in the body and in the metric's name. `not_run` is the usual "
        "value; a single answer can be more careful."
    )
    not_run_values = {"true": "`true`", "false": "`false`", "unknown": '`"unknown"`'}
    refusals = sorted(
        _public_refusals(Refusal), key=lambda refusal: (refusal.status, refusal.code)
    )
    rows = [
        [
            f"`{refusal.code}`",
            str(refusal.status),
            not_run_values[refusal.not_run],
            refusal.title,
        ]
        for refusal in refusals
    ]
    yield _render_table(["Code", "Status", "not_run", "Meaning"], rows)


def _public_refusals(base: type[Refusal]) -> Iterator[type[Refusal]]:
    for subclass in base.__subclasses__():
        if subclass.__module__ == Refusal.__module__:
            yield subclass
            yield from _public_refusals(subclass)


def make_page() -> str:
    """Returns the text of the page."""
    blocks = [PAGE_HEADER.rstrip(), *_settings_blocks(), *_document_blocks()]
    blocks += ["## Command line", *_command_blocks(cli, None, "damasksaddle")]
    blocks += [*_metric_blocks(), *_refusal_blocks()]
    return "\n\n".join(blocks) + "\n"


if __name__ == "__main__":
    REFERENCE_PAGE.write_text(make_page())
    sys.exit(0)
