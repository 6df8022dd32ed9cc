"""Start `vanillawelld`, the daemon on every entry instance."""

from __future__ import annotations

import signal
import sys
from pathlib import Path
from typing import Annotated

import anyio
import typer

from vanillawell import logs
from vanillawell.config.loader import load_model
from vanillawell.config.settings import DaemonSettings
from vanillawell.exceptions import VanillawellError

app = typer.Typer(add_completion=False, help="Run one entry instance.")


@app.command()
def run(
    settings_file: Annotated[Path, typer.Argument(help="Settings file, JSON with comments.")],
) -> None:
    """Serve callers until SIGTERM, then stop without interrupting requests."""
    from vanillawell.entry import run_entry

    try:
        settings = load_model(settings_file, DaemonSettings)
        logs.configure(settings.instance, settings.log_level)
        anyio.run(run_entry, settings, backend_options={"use_uvloop": True})
    except VanillawellError as error:
        sys.stderr.write(f"vanillawelld: {error}\n")
        raise SystemExit(error.exit_status) from error


def main() -> None:
    """Run the daemon, ignoring SIGHUP until it handles signals.

    A reload requested during start-up needs no action, but SIGHUP would end the process by
    default.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    app()


if __name__ == "__main__":
    main()
