"""Run one scheduler process on the users' platform."""

from __future__ import annotations

import signal


def main() -> None:
    """Run until a planned stop.

    All else is loaded only once a change of the settings can't end the process any more.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from vanillawell.platform import process

    process.main()


if __name__ == "__main__":
    main()
