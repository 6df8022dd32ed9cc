"""Check a daemon's settings file."""

from __future__ import annotations

from typing import TYPE_CHECKING

from vanillawell.commands.context import OutputFormat
from vanillawell.commands.printing import print_document, print_line
from vanillawell.config.loader import load_model
from vanillawell.config.settings import DaemonSettings

if TYPE_CHECKING:
    from pathlib import Path

    from vanillawell.commands.context import CommandContext


def check(context: CommandContext, file: Path) -> None:
    """Validate a settings file.

    Raises:
        SettingsError: The file is not valid; the text names file, key and reason.
    """
    settings = load_model(file, DaemonSettings)
    if context.output is OutputFormat.JSON:
        print_document({"valid": True, "instance": settings.instance, "zone": settings.zone})
        return
    print_line(f"{file}: settings of {settings.instance} in {settings.zone} are valid")
