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
from damasksaddle.utils.metrics import MEANINGS, Counter
from damasksaddle_cli.__main__ import cli
from damasksaddle_node.settings_input import (
    SETTING_CONSTRAINTS,
    SettingsInput,
    environment_variable,
)

PAGE = Path(__file__).parents[1] / "docs" / "reference.md"
HEAD = """\
# Reference

This page is made from the code by `python tools/make_reference.py`.
"""
PARTS: dict[str, type[BaseModel]] = {
    "Document": ServiceDocument,
    "Pool": Pool,
    "Upstream": Upstream,
    "Route": Route,
    "Workspace": Workspace,
    "ProgramLimits": ProgramLimits,
}
BOUNDS = {"ge": "at least", "gt": "above", "le": "at most", "lt": "below"}


def _cell(text: str) -> str:
    return " ".join(text.split()).replace("|", "\\|")


def _table(columns: list[str], rows: list[list[str]]) -> str:
    lines = [columns, ["---"] * len(columns), *rows]
    return "\n".join("| " + " | ".join(map(_cell, line)) + " |" for line in lines)


def _type(annotation: Any) -> str:
    if get_origin(annotation) is UnionType:
        kinds = [kind for kind in get_args(annotation) if kind is not type(None)]
        return " or ".join(map(_type, kinds))
    if hasattr(annotation, "__metadata__"):
        return _type(get_args(annotation)[0])
    origin, arguments = get_origin(annotation), get_args(annotation)
    if origin is list:
        return f"list of {_type(arguments[0])}"
    if origin is dict:
        return f"mapping of names to {_type(arguments[1])}"
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


def _bounds(field: FieldInfo) -> str:
    found = []
    for item in field.metadata:
        for name, words in BOUNDS.items():
            value = getattr(item, name, None)
            if value is not None:
                found.append(f"{words} {value}")
    return ", ".join(found)


def _default(field: FieldInfo) -> str:
    if field.default is PydanticUndefined:
        return "required"
    if isinstance(field.default, bool):
        return f"`{str(field.default).lower()}`"
    if field.default is None or isinstance(field.default, BaseModel):
        return ""
    text = str(getattr(field.default, "get_secret_value", lambda: field.default)())
    return f"`{text}`" if text not in ("", "{}") else ""


def _settings() -> Iterator[str]:
    yield "## Settings of damasksaddled"
    yield (
        "Each setting is a flag or an environment variable; the flag wins. A wrong "
        "setting gives one line and exit status 2."
    )
    rows = []
    for name, field in SettingsInput.model_fields.items():
        flag = "--" + name.replace("_", "-")
        limits = _bounds(field)
        about = (field.description or "") + (f" ({limits})" if limits else "")
        rows.append(
            [f"`{flag}`", f"`{environment_variable(name)}`", _default(field), about]
        )
    yield _table(["Flag", "Variable", "Default", "Meaning"], rows)
    yield "These relations must hold:"
    yield "\n".join(f"- {relation}" for relation in SETTING_CONSTRAINTS)


def _documents() -> Iterator[str]:
    yield "## Service documents"
    yield (
        "YAML in UTF-8, at most 512 KiB, without aliases. Names have lower-case "
        "letters, digits and `-`. Unknown fields are refused."
    )
    for title, model in PARTS.items():
        yield f"### {title}"
        rows = []
        for name, field in model.model_fields.items():
            kind = ", ".join(filter(None, [_type(field.annotation), _bounds(field)]))
            rows.append([f"`{name}`", kind, _default(field), field.description or ""])
        yield _table(["Field", "Type", "Default", "Meaning"], rows)


def _commands(
    command: click.Command, parent: click.Context | None, name: str
) -> Iterator[str]:
    context = click.Context(command, parent=parent, info_name=name)
    # Options of parents belong to the usage line only.
    context.terminal_width = context.max_content_width = 80
    yield f"### {context.command_path}"
    yield "```text\n" + command.get_help(context) + "\n```"
    if isinstance(command, click.Group):
        for child in command.list_commands(context):
            found = command.get_command(context, child)
            assert found is not None
            yield from _commands(found, context, child)


def _metrics() -> Iterator[str]:
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
        for name, meaning in MEANINGS.items()
    ]
    yield _table(["Name", "Kind", "Meaning"], rows)


def _refusals() -> Iterator[str]:
    yield "## Refusals"
    yield (
        "The code is in the body and in the metric's name. `not_run` is the usual "
        "value; a single answer can be more careful."
    )
    values = {"true": "`true`", "false": "`false`", "unknown": '`"unknown"`'}
    kinds = sorted(_public(Refusal), key=lambda kind: (kind.status, kind.code))
    rows = [
        [f"`{kind.code}`", str(kind.status), values[kind.not_run], kind.title]
        for kind in kinds
    ]
    yield _table(["Code", "Status", "not_run", "Meaning"], rows)


def _public(kind: type[Refusal]) -> Iterator[type[Refusal]]:
    for child in kind.__subclasses__():
        if child.__module__ == Refusal.__module__:
            yield child
            yield from _public(child)


def make_page() -> str:
    """Returns the text of the page."""
    blocks = [HEAD.rstrip(), *_settings(), *_documents()]
    blocks += ["## Command line", *_commands(cli, None, "damasksaddle")]
    blocks += [*_metrics(), *_refusals()]
    return "\n\n".join(blocks) + "\n"


if __name__ == "__main__":
    PAGE.write_text(make_page())
    sys.exit(0)
