"""Start and control the processes of an emulated fleet.

Only the emulators start processes; vanillawell itself never does.
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
    from typing import BinaryIO

FIRST_PORT = 2_000
"""Lowest port that is handed out."""

LAST_PORT = 15_000
"""Upper bound of the ports; the ephemeral ports of client sockets lie above and would collide."""

PORTS_PER_PROCESS = 1_000
"""Ports reserved for one test process; the largest fleet uses about two hundred."""

FIRST_GUARD_PORT = 1_900
"""First of the guard ports, one for each block of ports; a bound one marks its block as taken."""

WAIT_TIMEOUT = 30.0
"""Seconds to wait for a condition or for the end of a process."""

POLL_INTERVAL = 0.02
"""Seconds between two checks of a condition."""

CALL_TIMEOUT = {"connect": 2.0, "read": 10.0, "write": 5.0, "pool": 5.0}
"""Timeouts of a control call, in seconds."""


class NeverTrueError(AssertionError):
    """A condition was not met within the timeout, or no ports are free."""


def _reserve_ports() -> tuple[socket.socket, range]:
    """Reserve a block of ports for this process by a guard port that stays bound.

    A port that was free when checked may be taken by another fleet before it is used if several
    are started at the same time. The guard ports keep their blocks apart while the processes run.
    """
    for index in range((LAST_PORT - FIRST_PORT) // PORTS_PER_PROCESS):
        guard_socket = socket.socket()
        try:
            guard_socket.bind(("127.0.0.1", FIRST_GUARD_PORT + index))
        except OSError:
            guard_socket.close()
            continue
        first = FIRST_PORT + index * PORTS_PER_PROCESS
        return guard_socket, range(first, first + PORTS_PER_PROCESS)
    raise NeverTrueError("all blocks of ports are taken by other fleets")


def _free_ports() -> Iterator[int]:
    guard_socket, ports = _reserve_ports()
    with guard_socket:
        for port in itertools.cycle(ports):
            if _is_free(port):
                yield port


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
        return True


_FREE_PORTS = _free_ports()


def free_port() -> int:
    """Return a port that nothing listens on; ports recur only after the whole block was used."""
    return next(_FREE_PORTS)


def wait_until(
    condition: Callable[[], bool], description: str, timeout: float = WAIT_TIMEOUT
) -> None:
    """Wait until a condition is met; raise NeverTrueError with `description` on timeout."""
    deadline = time.monotonic() + timeout
    while not condition():
        if time.monotonic() > deadline:
            raise NeverTrueError(f"condition not met within {timeout:g} s: {description}")
        time.sleep(POLL_INTERVAL)


@dataclass(frozen=True, slots=True)
class AccessOptions:
    """TLS context and token for calls to a port that requires them."""

    context: ssl.SSLContext | None = None
    token: str = ""

    @property
    def scheme(self) -> str:
        """Return the URL scheme."""
        return "https" if self.context else "http"

    @property
    def headers(self) -> dict[bytes | str, bytes | str]:
        """Return the headers that authenticate the caller."""
        return {"authorization": f"Bearer {self.token}"} if self.token else {}


PLAIN_HTTP = AccessOptions()
"""Access by plain HTTP without a token."""


def call(
    host: str, port: int, path: str, document: object = None, access: AccessOptions = PLAIN_HTTP
) -> Any:
    """Make one control call and return the decoded JSON response."""
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
    """Return whether a GET request succeeds with status 200."""
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
        self._popen: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Return the process id; 0 before the start."""
        return self._popen.pid if self._popen else 0

    @property
    def log_text(self) -> str:
        """Return the content of the log file."""
        return self._log.read_text() if self._log.exists() else ""

    @property
    def running(self) -> bool:
        """Return whether the process has been started and has not ended."""
        return self._popen is not None and self._popen.poll() is None

    def start(self) -> None:
        """Start the process, appending its output to the log file."""
        with self._log.open("ab") as log:
            self._popen = self._launch(log)

    def _launch(self, log: BinaryIO) -> subprocess.Popen[bytes]:
        command = [sys.executable, "-m", self._module, *self._arguments]
        return subprocess.Popen(command, stdout=log, stderr=log)

    def signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it was started."""
        if self._popen:
            self._popen.send_signal(signal_number)

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait for its end."""
        self.signal(signal.SIGKILL)
        self.wait()

    def pause(self) -> None:
        """Suspend the process until `resume`."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Continue the process after `pause`."""
        self.signal(signal.SIGCONT)

    def stop(self) -> int:
        """Request a graceful stop with SIGTERM and return the exit status."""
        self.signal(signal.SIGTERM)
        return self.wait()

    def wait(self, timeout: float = WAIT_TIMEOUT) -> int:
        """Wait for the end of the process and return its exit status."""
        return self._popen.wait(timeout) if self._popen else 0

    def cpu_seconds(self) -> float:
        """Return the processor time that the process has used."""
        with open(f"/proc/{self.pid}/stat", encoding="ascii") as stat:  # noqa: PTH123
            fields = stat.read().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def resident_kilobytes(self) -> int:
        """Return the resident memory of the process."""
        with open(f"/proc/{self.pid}/status", encoding="ascii") as status:  # noqa: PTH123
            line = next(line for line in status if line.startswith("VmRSS"))
        return int(line.split()[1])
