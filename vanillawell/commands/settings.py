"""Check a daemon's settings file."""

from __future__ import annotations

from typing import TYPE_CHECKING

from vanillawell.commands.printing import print_line
from vanillawell.config.loader import load_model
from vanillawell.config.settings import DaemonSettings

if TYPE_CHECKING:
    from pathlib import Path


def check(file: Path) -> None:
    """Validate a file; raises SettingsError that names file, key and reason."""
    settings = load_model(file, DaemonSettings)
    print_line(f"{file}: settings of {settings.instance} in {settings.zone} are valid")
