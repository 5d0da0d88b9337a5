"""Output of results: tables for people, JSON for scripts."""

import json
from collections.abc import Sequence
from datetime import UTC, datetime
from typing import Any

import click

COLUMN_SEPARATOR = "  "


def echo_json(value: Any) -> None:
    """Prints a value as indented JSON."""
    click.echo(json.dumps(value, indent=2))


def format_table(columns: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """
    Returns rows as text with aligned columns; numbers are aligned to the right.

    >>> print(format_table(["name", "turns"], [["a", 3]]))
    NAME  TURNS
    a         3
    """
    texts = [[_format_cell(cell) for cell in row] for row in rows]
    widths = [
        max([len(column), *(len(row[index]) for row in texts)])
        for index, column in enumerate(columns)
    ]
    numeric = [
        bool(rows) and all(isinstance(row[index], (int, float)) for row in rows)
        for index in range(len(columns))
    ]

    def format_row(cells: Sequence[str]) -> str:
        padded_cells = [
            cell.rjust(width) if is_numeric else cell.ljust(width)
            for cell, width, is_numeric in zip(cells, widths, numeric, strict=True)
        ]
        return COLUMN_SEPARATOR.join(padded_cells).rstrip()

    return "\n".join(
        [format_row([c.upper() for c in columns]), *map(format_row, texts)]
    )


def _format_cell(cell: Any) -> str:
    if cell is None or cell == "":
        return "-"
    if isinstance(cell, bool):
        return "yes" if cell else "no"
    return str(cell)


def format_time(unix_s: int | None) -> str:
    """Returns a time as UTC text, or an empty string for None."""
    if unix_s is None:
        return ""
    return f"{datetime.fromtimestamp(unix_s, UTC):%Y-%m-%d %H:%M:%SZ}"
