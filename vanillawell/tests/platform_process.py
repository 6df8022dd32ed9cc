"""Start one scheduler process as the platform does, for tests of its signals."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path
from typing import Self

UNREACHABLE_ADDRESS = "127.0.0.1:9"
"""Address at which no server answers."""


def _free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def write_settings(
    folder: Path,
    store: str = UNREACHABLE_ADDRESS,
    machines: str = UNREACHABLE_ADDRESS,
    **bounds: float,
) -> Path:
    """Write the settings of an entry; return the path of the file."""
    document = {
        "instance": "entry-0",
        "zone": "a",
        "caller": _free_address(),
        "ready": _free_address(),
        "metrics": _free_address(),
        "store": store,
        "machines": machines,
        "shortest_lease_ms": 1000,
        "bounds": {
            "lease_most_ms": 6000,
            "kill_grace_ms": 100,
            "revoke_ms": 5000,
            "state_kept_s": 120,
            "duty_lease_ms": 500,
            "grace_s": 6,
            "drain_ms": 2000,
            **bounds,
        },
    }
    path = folder / "settings.json"
    path.write_text(json.dumps(document))
    return path


class PlatformProcess:
    """A scheduler process and the messages of its log."""

    def __init__(self, path: Path) -> None:
        self._process = subprocess.Popen(
            [sys.executable, "-m", "vanillawell.platform"],
            env={**os.environ, "VANILLAWELL_SETTINGS": str(path)},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        self._lines: list[str] = []
        self._reader = threading.Thread(target=self._read)
        self._reader.start()

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_: object) -> None:
        self._process.kill()
        self._process.wait()
        self._reader.join()

    def _read(self) -> None:
        assert self._process.stdout is not None
        self._lines.extend(self._process.stdout)

    def send(self, number: int) -> None:
        """Send a signal."""
        self._process.send_signal(number)

    def has_logged(self, message: str) -> bool:
        """Return whether the log contains a message."""
        return any(message in line for line in self._lines)

    def has_loaded(self, library: str) -> bool:
        """Return whether the process has loaded a library, given part of its file name."""
        return library in Path(f"/proc/{self._process.pid}/maps").read_text()

    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self._process.poll() is None

    def wait_for(self, message: str, seconds: float) -> None:
        """Wait until the log contains a message; fail after `seconds`."""
        deadline = time.monotonic() + seconds
        while not self.has_logged(message):
            assert time.monotonic() < deadline, f"no {message!r} in {self._lines}"
            time.sleep(0.02)

    def wait_for_exit(self, seconds: float) -> int:
        """Wait until the process has exited and return its exit code."""
        code = self._process.wait(seconds)
        self._reader.join()
        return code
