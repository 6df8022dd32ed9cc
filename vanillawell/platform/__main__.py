"""Run one scheduler process on the users' platform."""

from __future__ import annotations

import signal


def main() -> None:
    """Run until a planned stop.

    SIGHUP announces changed settings, and its default action ends the process. It is therefore
    ignored before the other modules are imported, which takes some tenths of a second.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from vanillawell.platform import process

    process.main()


if __name__ == "__main__":
    main()
