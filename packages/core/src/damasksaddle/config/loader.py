"""Reads service documents from YAML and names what is wrong with them."""

import difflib
from typing import Any

from pydantic import BaseModel, ValidationError
from ruamel.yaml import YAML
from ruamel.yaml.error import MarkedYAMLError, YAMLError
from ruamel.yaml.events import (
    AliasEvent,
    MappingEndEvent,
    MappingStartEvent,
    SequenceEndEvent,
    SequenceStartEvent,
)

from damasksaddle.config.checks import cross_check
from damasksaddle.config.documents import ServiceDocument
from damasksaddle.exceptions import DocumentInvalid

# A document is one row of the fleet log, which the table keeps small.
MAX_DOCUMENT_BYTES = 512 * 1024
# Pools hold upstreams, which are 5 deep; the composer recurses once per level.
MAX_DEPTH = 20
MAX_PROBLEMS = 50

Path = tuple[int | str, ...]


def load_document(source: str | bytes, *, recorded: bool = False) -> ServiceDocument:
    """
    Returns the document in a YAML text.

    `recorded` reads a text that was accepted earlier: it skips the checks between
    fields, so that a stricter release still replays it. Raises `DocumentInvalid`
    with one line per problem, each with its line number.
    """
    tree = _tree(decode_document(source))
    if not isinstance(tree, dict):
        raise DocumentInvalid(["line 1: a document is a mapping"])
    try:
        document = ServiceDocument.model_validate(tree)
    except ValidationError as error:
        raise DocumentInvalid(_problems(error, tree)) from error
    if not recorded:
        found = [
            f"line {_line_of(tree, path)}: {_place(path)}: {message}"
            for path, message in cross_check(document)
        ]
        if found:
            raise DocumentInvalid(found[:MAX_PROBLEMS])
    return document


def decode_document(source: str | bytes) -> str:
    """Returns a document's text; raises `DocumentInvalid` if it is not UTF-8."""
    if isinstance(source, str):
        text = source
        size_bytes = len(source.encode("utf-8", "surrogatepass"))
    else:
        size_bytes = len(source)
        try:
            text = source.decode("utf-8-sig")
        except UnicodeDecodeError as error:
            line = source[: error.start].count(b"\n") + 1
            raise DocumentInvalid([f"line {line}: the text is not UTF-8"]) from error
    if size_bytes > MAX_DOCUMENT_BYTES:
        raise DocumentInvalid(
            [f"line 1: a document has at most {MAX_DOCUMENT_BYTES} bytes"]
        )
    return text


def _tree(text: str) -> Any:
    try:
        _check_shape(text)
        return YAML().load(text)
    except MarkedYAMLError as error:
        line = error.problem_mark.line + 1 if error.problem_mark else 1
        raise DocumentInvalid([f"line {line}: {error.problem}"]) from error
    except YAMLError as error:
        position = getattr(error, "position", 0)
        line = text.count("\n", 0, position) + 1
        reason = getattr(error, "reason", str(error))
        raise DocumentInvalid([f"line {line}: {reason}"]) from error
    except ValueError as error:
        # The constructor of scalars, for example of a date that does not exist.
        raise DocumentInvalid([f"line 1: {error}"]) from error


def _check_shape(text: str) -> None:
    """Raises `DocumentInvalid` for what the composer must not be given."""
    depth = 0
    for event in YAML().parse(text):
        line = event.start_mark.line + 1
        match event:
            case AliasEvent():
                # Aliases can expand without bound, and hide what is in force.
                raise DocumentInvalid(
                    [f"line {line}: aliases are not supported; repeat the value"]
                )
            case MappingStartEvent() | SequenceStartEvent():
                depth += 1
            case MappingEndEvent() | SequenceEndEvent():
                depth -= 1
        if depth > MAX_DEPTH:
            raise DocumentInvalid(
                [f"line {line}: the document is nested deeper than {MAX_DEPTH} levels"]
            )


def _problems(error: ValidationError, tree: Any) -> list[str]:
    found = []
    for problem in error.errors(include_url=False, include_input=False):
        path = tuple(part for part in problem["loc"] if part != "[key]")
        message = problem["msg"].removeprefix("Value error, ")
        if problem["type"] == "extra_forbidden":
            message = "unknown field" + _suggestion(path)
        elif problem["type"] == "missing":
            message = "this field is required"
        found.append((_line_of(tree, path), f"{_place(path)}: {message}"))
    return [f"line {line}: {text}" for line, text in sorted(found)[:MAX_PROBLEMS]]


def _place(path: Path) -> str:
    return ".".join(str(part) for part in path) or "document"


def _line_of(tree: Any, path: Path) -> int:
    """Returns the line of a field, or of the closest field around it."""
    line = 1
    for part in path:
        position = getattr(tree, "lc", None)
        if position is None:
            break
        try:
            if isinstance(tree, dict):
                line = position.key(part)[0] + 1
            else:
                line = position.item(part)[0] + 1
            tree = tree[part]
        except (KeyError, IndexError, TypeError):
            break
    return line


def _suggestion(path: Path) -> str:
    names = sorted(_names_at(ServiceDocument, path[:-1]))
    close = difflib.get_close_matches(str(path[-1]), names, n=1)
    return f"; did you mean {close[0]!r}?" if close else ""


def _names_at(model: type[BaseModel], path: Path) -> set[str]:
    """Returns the fields that are known where a path ends."""
    for part in path:
        field = model.model_fields.get(str(part))
        models = _models_in(field.annotation) if field else []
        if models:
            # Names and numbers in the path that select an entry keep the model.
            model = models[0]
    return set(model.model_fields)


def _models_in(annotation: Any) -> list[type[BaseModel]]:
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return [annotation]
    found = []
    for argument in getattr(annotation, "__args__", ()):
        found.extend(_models_in(argument))
    return found
