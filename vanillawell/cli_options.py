"""Define the options that several operators' commands share."""

from __future__ import annotations

from typing import Annotated

import typer

WaitOption = Annotated[
    bool, typer.Option("--wait", help="Wait until all entries confirm the change.")
]
WaitBoundOption = Annotated[float, typer.Option(help="Maximum seconds to wait.")]
DryRunOption = Annotated[
    bool, typer.Option("--dry-run", help="Check and show the change without applying it.")
]
NoteOption = Annotated[str, typer.Option(help="Reason for the change, kept in the history.")]
BaseOption = Annotated[int | None, typer.Option(help="Version that the change is based on.")]
