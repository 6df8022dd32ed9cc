"""Start and steer the processes of an emulated fleet.

Only the emulator starts processes; no process of the product does.
"""

from __future__ import annotations

import itertools
import os
import signal
import socket
import ssl
import subprocess
import sys
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import httpcore
import orjson

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from pathlib import Path

FIRST_PORT = 2_000
"""Ports are taken from here on."""

LAST_PORT = 15_000
"""Below the range that the system gives to clients' sockets, which would collide."""

BLOCK = 1_000
"""Ports of one process; the largest fleet takes some two hundred."""

FIRST_GUARD = 1_900
"""Guard ports that say which blocks are taken, one for each block."""

WAIT_TIMEOUT = 30.0
"""Seconds after which a condition that does not come true is an error."""

POLL_INTERVAL = 0.02
"""Seconds between two looks at a condition."""

CALL_TIMEOUT = {"connect": 2.0, "read": 10.0, "write": 5.0, "pool": 5.0}
"""Bounds of a control call, in seconds."""


class NeverTrueError(AssertionError):
    """A condition did not come true in time."""


def _claim_block() -> tuple[socket.socket, range]:
    """Claim a block of ports for this process alone, by a guard port that stays bound.

    A port found free may be taken by another fleet before it is used, if several are started side
    by side; the guard keeps their blocks apart for as long as their processes live.
    """
    for number in range((LAST_PORT - FIRST_PORT) // BLOCK):
        guard = socket.socket()
        try:
            guard.bind(("127.0.0.1", FIRST_GUARD + number))
        except OSError:
            guard.close()
            continue
        first = FIRST_PORT + number * BLOCK
        return guard, range(first, first + BLOCK)
    raise NeverTrueError("no block of ports is free for another fleet")


def _ports() -> Iterator[int]:
    guard, block = _claim_block()
    with guard:
        for port in itertools.cycle(block):
            if _is_free(port):
                yield port


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
        return True


_PORTS = _ports()


def free_port() -> int:
    """Return a port that nothing listens on and that is given out once."""
    return next(_PORTS)


def wait_until(condition: Callable[[], bool], what: str, timeout: float = WAIT_TIMEOUT) -> None:
    """Wait for a condition to come true; raises NeverTrueError that says `what`."""
    deadline = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > deadline:
            raise NeverTrueError(f"not within {timeout:g} s: {what}")
        time.sleep(POLL_INTERVAL)


@dataclass(frozen=True, slots=True)
class AccessOptions:
    """How a port is reached that asks for more than an address."""

    context: ssl.SSLContext | None = None
    token: str = ""

    @property
    def scheme(self) -> str:
        """Return the URL scheme."""
        return "https" if self.context else "http"

    @property
    def headers(self) -> dict[bytes | str, bytes | str]:
        """Return the headers that prove who calls."""
        return {"authorization": f"Bearer {self.token}"} if self.token else {}


PLAIN_HTTP = AccessOptions()
"""Plain HTTP without a token."""


def call(
    host: str, port: int, path: str, document: object = None, access: AccessOptions = PLAIN_HTTP
) -> Any:
    """Make one control call and return the answer's document."""
    method = "GET" if document is None else "POST"
    content = None if document is None else orjson.dumps(document)
    with httpcore.ConnectionPool(ssl_context=access.context) as pool:
        response = pool.request(
            method,
            f"{access.scheme}://{host}:{port}{path}",
            headers=access.headers,
            content=content,
            extensions={"timeout": CALL_TIMEOUT},
        )
    return orjson.loads(response.content)


def responds_ok(host: str, port: int, path: str, access: AccessOptions = PLAIN_HTTP) -> bool:
    """Tell whether a call succeeds with status 200."""
    try:
        with httpcore.ConnectionPool(ssl_context=access.context) as pool:
            url = f"{access.scheme}://{host}:{port}{path}"
            return pool.request("GET", url, extensions={"timeout": CALL_TIMEOUT}).status == 200
    except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
        return False


class Process:
    """One child process with its log file."""

    def __init__(self, name: str, module: str, arguments: list[str], log: Path) -> None:
        self.name = name
        self._module = module
        self._arguments = arguments
        self._log = log
        self._child: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Return the process id; 0 before the start."""
        return self._child.pid if self._child else 0

    @property
    def log_text(self) -> str:
        """Return all that it has logged."""
        return self._log.read_text() if self._log.exists() else ""

    @property
    def running(self) -> bool:
        """Tell whether it has not ended."""
        return self._child is not None and self._child.poll() is None

    def start(self) -> None:
        """Start it, appending to its log file."""
        command = [sys.executable, "-m", self._module, *self._arguments]
        with self._log.open("ab") as log:
            self._child = subprocess.Popen(command, stdout=log, stderr=log)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        if self._child:
            self._child.send_signal(number)

    def kill(self) -> None:
        """Kill it without warning."""
        self.signal(signal.SIGKILL)
        self.wait()

    def pause(self) -> None:
        """Stop its execution until `resume`."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Go on after `pause`."""
        self.signal(signal.SIGCONT)

    def stop(self) -> int:
        """Ask it to stop as planned, and return its exit status."""
        self.signal(signal.SIGTERM)
        return self.wait()

    def wait(self, timeout: float = WAIT_TIMEOUT) -> int:
        """Wait for its end and return its exit status."""
        return self._child.wait(timeout) if self._child else 0

    def cpu_seconds(self) -> float:
        """Return the processor time it has used."""
        with open(f"/proc/{self.pid}/stat", encoding="ascii") as stat:  # noqa: PTH123
            fields = stat.read().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def resident_kilobytes(self) -> int:
        """Return its resident memory."""
        with open(f"/proc/{self.pid}/status", encoding="ascii") as status:  # noqa: PTH123
            line = next(line for line in status if line.startswith("VmRSS"))
        return int(line.split()[1])
