"""How results are printed: tables for people, JSON for scripts."""

import json
from collections.abc import Sequence
from datetime import UTC, datetime
from typing import Any

import click

GAP = "  "


def echo_json(value: Any) -> None:
    """Prints a value as indented JSON."""
    click.echo(json.dumps(value, indent=2))


def table(columns: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """
    Returns rows as aligned text; numbers are aligned to the right.

    >>> print(table(["name", "turns"], [["a", 3]]))
    NAME  TURNS
    a         3
    """
    texts = [[_text(cell) for cell in row] for row in rows]
    widths = [
        max([len(column), *(len(row[number]) for row in texts)])
        for number, column in enumerate(columns)
    ]
    right = [
        bool(rows) and all(isinstance(row[number], (int, float)) for row in rows)
        for number in range(len(columns))
    ]

    def line(cells: Sequence[str]) -> str:
        padded = [
            cell.rjust(width) if is_right else cell.ljust(width)
            for cell, width, is_right in zip(cells, widths, right, strict=True)
        ]
        return GAP.join(padded).rstrip()

    return "\n".join([line([c.upper() for c in columns]), *map(line, texts)])


def _text(cell: Any) -> str:
    if cell is None or cell == "":
        return "-"
    if isinstance(cell, bool):
        return "yes" if cell else "no"
    return str(cell)


def when(unix_s: int | None) -> str:
    """Returns a time as UTC text, or "" if there is none."""
    if unix_s is None:
        return ""
    return f"{datetime.fromtimestamp(unix_s, UTC):%Y-%m-%d %H:%M:%SZ}"
