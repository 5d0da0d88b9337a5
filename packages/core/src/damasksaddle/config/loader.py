"""Reads service documents from YAML and names what is wrong with them."""

import difflib
from typing import Any

from pydantic import BaseModel, ValidationError
from ruamel.yaml import YAML
from ruamel.yaml.error import MarkedYAMLError

from damasksaddle.config.documents import ServiceDocument
from damasksaddle.exceptions import DocumentInvalid


def load_document(text: str) -> ServiceDocument:
    """
    Returns the document in a YAML text.

    Raises `DocumentInvalid` with one line per problem, each with its line number.
    """
    try:
        tree = YAML().load(text)
    except MarkedYAMLError as error:
        line = error.problem_mark.line + 1 if error.problem_mark else 1
        raise DocumentInvalid([f"line {line}: {error.problem}"]) from error
    if not isinstance(tree, dict):
        raise DocumentInvalid(["line 1: a document is a mapping"])
    try:
        return ServiceDocument.model_validate(tree)
    except ValidationError as error:
        raise DocumentInvalid(_problems(error, tree)) from error


def _problems(error: ValidationError, tree: Any) -> list[str]:
    found = []
    for problem in error.errors():
        path = tuple(part for part in problem["loc"] if part != "[key]")
        line = _line_of(tree, path)
        place = ".".join(str(part) for part in path) or "document"
        message = problem["msg"].removeprefix("Value error, ")
        if problem["type"] == "extra_forbidden":
            message = "unknown field" + _suggestion(path)
        found.append(f"line {line}: {place}: {message}")
    return found


def _line_of(tree: Any, path: tuple[int | str, ...]) -> int:
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


def _suggestion(path: tuple[int | str, ...]) -> str:
    names = _field_names(ServiceDocument)
    close = difflib.get_close_matches(str(path[-1]), names, n=1)
    return f"; did you mean {close[0]!r}?" if close else ""


def _field_names(model: type[BaseModel]) -> set[str]:
    names: set[str] = set()
    pending: list[type[BaseModel]] = [model]
    while pending:
        current = pending.pop()
        for name, info in current.model_fields.items():
            names.add(name)
            pending.extend(_models_in(info.annotation))
    return names


def _models_in(annotation: Any) -> list[type[BaseModel]]:
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return [annotation]
    found = []
    for argument in getattr(annotation, "__args__", ()):
        found.extend(_models_in(argument))
    return found
