"""Print results as tables or JSON."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

import orjson
from rich.console import Console
from rich.table import Table

from vanillawell.commands.context import OutputFormat

if TYPE_CHECKING:
    from collections.abc import Sequence


def print_rows(rows: Sequence[dict[str, Any]], output: OutputFormat, title: str = "") -> None:
    """Print rows that all have the same keys."""
    if output is OutputFormat.JSON:
        print_document(list(rows))
        return
    table = Table(title=title or None, title_justify="left")
    for column in rows[0] if rows else ():
        table.add_column(column.replace("_", " "))
    for row in rows:
        table.add_row(*(str(value) for value in row.values()))
    Console(width=None if sys.stdout.isatty() else 140).print(table)


def print_document(document: object) -> None:
    """Print a document as JSON."""
    sys.stdout.write(orjson.dumps(document, option=orjson.OPT_INDENT_2).decode() + "\n")


def print_line(text: str) -> None:
    """Print one line for operators to standard error, separate from results."""
    sys.stderr.write(text + "\n")
