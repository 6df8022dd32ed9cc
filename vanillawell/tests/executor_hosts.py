"""Run stand-in executors at addresses of their own, and let them crash as processes do."""

from __future__ import annotations

import socket
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING, Any, cast

import anyio

from vanillawell.standins.scheduler.executor import MAX_BODY_BYTES, StandInExecutor
from vanillawell.transport.asgi import bind, read_body, server

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup


@dataclass(slots=True)
class Host:
    """Host of an executor, whose current incarnation can be replaced."""

    executor: StandInExecutor
    address: str
    machine: str
    rack: str
    zone: str = "a"
    endpoint: Endpoint | None = None
    """Where the present incarnation listens."""

    late_starts: anyio.Event | None = None
    """If set, starts are on their way until this event, and reach whichever incarnation is there
    then."""

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        if self.late_starts is not None and scope["path"] == "/run-start":
            receive = _replay(await read_body(receive, MAX_BODY_BYTES))
            await self.late_starts.wait()
        await self.executor(scope, receive, send)


def _replay(body: bytes) -> Callable[[], Awaitable[dict[str, Any]]]:
    """Return a `receive` that delivers a body that was read before."""

    async def receive() -> dict[str, Any]:
        return {"type": "http.request", "body": body, "more_body": False}

    return receive


class Endpoint:
    """A listening address, and the connections that were opened to it."""

    def __init__(self, app: Any, port: int = 0) -> None:
        self._app = app
        self._listener = bind("127.0.0.1", port, "test")
        self._server = server(self, stop_timeout=0)
        self.port: int = self._listener.getsockname()[1]

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        await self._app(scope, receive, send)

    async def serve(self) -> None:
        """Serve until cancelled."""
        await self._server.serve([self._listener])

    def close(self, app: Any, silent: bool) -> None:
        """Accept no more connections; those that are open end now, or stay with `app` if `silent`.

        Connections are refused from then on.
        """
        self._app = app
        for listening in self._server.servers:
            listening.close()
        if not silent:
            for protocol in list(self._server.server_state.connections):
                cast("Any", protocol).transport.abort()


class Connections(Enum):
    """What becomes of an executor's connections when it crashes."""

    END = "they end"
    SILENT = "they stay open, and no call on them is answered any more"
    RELAYED = "a relay keeps them open and passes later calls on to the next incarnation"


@dataclass(frozen=True, slots=True)
class Crash:
    """How an executor crashes and starts again under its id."""

    connections: Connections = Connections.END
    down_for: float = 0.0
    """Seconds until its next incarnation listens."""

    registered_after: float = 0.0
    """Seconds from then until that incarnation registers."""

    cpu: int | None = None
    """Millicores of that incarnation; None for as many as before."""


def listen(tasks: TaskGroup, app: Any) -> str:
    """Serve an application on a free loopback port and return its address."""
    listener = bind("127.0.0.1", 0, "test")
    tasks.start_soon(_serve, app, listener)
    host, port = listener.getsockname()[:2]
    return f"{host}:{port}"


async def _serve(app: Any, listener: socket.socket) -> None:
    await server(app, stop_timeout=0).serve([listener])
