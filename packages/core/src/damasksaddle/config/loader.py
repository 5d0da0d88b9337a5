"""Reads service documents from YAML and reports problems by line."""

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

# A document is stored as one row of the fleet log, and table rows are limited in size.
MAX_DOCUMENT_BYTES = 512 * 1024
# The schema is 5 levels deep (pools and their upstreams); the YAML composer recurses
# once per level.
MAX_DEPTH = 20
MAX_PROBLEMS = 50

Path = tuple[int | str, ...]


def load_document(source: str | bytes, *, recorded: bool = False) -> ServiceDocument:
    """
    Parses and validates a service document in YAML.

    `recorded` is for a document that was accepted earlier: it skips the checks that
    involve several fields, so that a release with stricter checks can still replay it.
    Raises `DocumentInvalid` with one message per problem, each with its line number.
    """
    tree = _parse_yaml(decode_document(source))
    if not isinstance(tree, dict):
        raise DocumentInvalid(["line 1: the document must be a mapping"])
    try:
        document = ServiceDocument.model_validate(tree)
    except ValidationError as error:
        raise DocumentInvalid(_validation_problems(error, tree)) from error
    if not recorded:
        problems = [
            f"line {_line_of(tree, path)}: {_dotted(path)}: {message}"
            for path, message in cross_check(document)
        ]
        if problems:
            raise DocumentInvalid(problems[:MAX_PROBLEMS])
    return document


def decode_document(source: str | bytes) -> str:
    """
    Decodes a document.

    Raises `DocumentInvalid` if it is not UTF-8 or too large.
    """
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
            [f"line 1: the document exceeds {MAX_DOCUMENT_BYTES} bytes"]
        )
    return text


def _parse_yaml(text: str) -> Any:
    try:
        _check_structure(text)
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
        # The constructor of a scalar failed, for example for a nonexistent date.
        raise DocumentInvalid([f"line 1: {error}"]) from error


def _check_structure(text: str) -> None:
    """Rejects aliases and deep nesting before the document is composed."""
    depth = 0
    for event in YAML().parse(text):
        line = event.start_mark.line + 1
        match event:
            case AliasEvent():
                # Aliases can expand without bound and obscure the effective values.
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


def _validation_problems(error: ValidationError, tree: Any) -> list[str]:
    problems = []
    for problem in error.errors(include_url=False, include_input=False):
        path = tuple(segment for segment in problem["loc"] if segment != "[key]")
        message = problem["msg"].removeprefix("Value error, ")
        if problem["type"] == "extra_forbidden":
            message = "unknown field" + _suggestion(path)
        elif problem["type"] == "missing":
            message = "this field is required"
        problems.append((_line_of(tree, path), f"{_dotted(path)}: {message}"))
    return [f"line {line}: {text}" for line, text in sorted(problems)[:MAX_PROBLEMS]]


def _dotted(path: Path) -> str:
    return ".".join(str(segment) for segment in path) or "document"


def _line_of(tree: Any, path: Path) -> int:
    """Returns the line of a field, or of its closest ancestor with a known line."""
    line = 1
    for segment in path:
        position = getattr(tree, "lc", None)
        if position is None:
            break
        try:
            if isinstance(tree, dict):
                line = position.key(segment)[0] + 1
            else:
                line = position.item(segment)[0] + 1
            tree = tree[segment]
        except (KeyError, IndexError, TypeError):
            break
    return line


def _suggestion(path: Path) -> str:
    names = sorted(_field_names(ServiceDocument, path[:-1]))
    matches = difflib.get_close_matches(str(path[-1]), names, n=1)
    return f"; did you mean {matches[0]!r}?" if matches else ""


def _field_names(model: type[BaseModel], path: Path) -> set[str]:
    """Returns the valid field names at the end of a path."""
    for segment in path:
        field = model.model_fields.get(str(segment))
        models = _nested_models(field.annotation) if field else []
        if models:
            # Keys and indexes that select an entry of a collection keep the model.
            model = models[0]
    return set(model.model_fields)


def _nested_models(annotation: Any) -> list[type[BaseModel]]:
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return [annotation]
    models = []
    for argument in getattr(annotation, "__args__", ()):
        models.extend(_nested_models(argument))
    return models
