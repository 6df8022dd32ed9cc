"""Emulate the backend servers: executors with slots that record each request they run.

All executors of a deployment run in one process, which therefore knows at any time how many
requests of each organisation run in the whole fleet.
"""

from __future__ import annotations

import random
import ssl
import time
from collections import Counter
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Annotated, Any

import anyio
import orjson
import typer

from vanillawell.config.settings import ServerTls
from vanillawell.transport.asgi import (
    EmbeddedServer,
    Receive,
    Scope,
    Send,
    bind,
    read_body,
    send_bytes,
    send_json,
    server,
)
from vanillawell.transport.tls import server_context

MAX_BODY_BYTES = 64 * 2**20
"""Maximum size of a request body, in bytes."""

ANSWER_CHUNK = b"x" * 65_536
"""Chunk that large answers are made of."""


@dataclass(slots=True)
class Behaviour:
    """Behaviour of an executor; tests change it at run time."""

    mean_seconds: float = 0.02
    """Mean of the exponentially distributed run time."""

    fixed: bool = False
    """Whether each request runs for exactly the mean."""

    status: int = 200
    fail_fast: bool = False
    """Whether to answer 500 immediately without running the request."""

    silent: bool = False
    """Whether to run requests but never answer them."""

    answer_bytes: int = 0
    """Size of the answer; with 0 it echoes the request's id and body."""

    chunked: bool = False
    """Whether to send a large answer without a Content-Length header."""


@dataclass(frozen=True, slots=True)
class Run:
    """Record of one request that an executor ran."""

    request: str
    organisation: str
    executor: str
    method: str
    path: str
    mark: str
    """Value of the Mark header, by which a test counts the runs of one piece of work."""

    started: float
    ended: float


@dataclass(slots=True)
class RunStatistics:
    """Statistics of all executors together."""

    runs: list[Run] = field(default_factory=list)
    running: Counter[str] = field(default_factory=Counter)
    max_running: Counter[str] = field(default_factory=Counter)
    slot_seconds: Counter[str] = field(default_factory=Counter)
    refused: int = 0
    over_connections: int = 0

    def start(self, organisation: str) -> None:
        """Count a request that starts to run."""
        self.running[organisation] += 1
        self.max_running[organisation] = max(
            self.max_running[organisation], self.running[organisation]
        )

    def end(self, run: Run) -> None:
        """Record a request that has ended."""
        self.running[run.organisation] -= 1
        self.slot_seconds[run.organisation] += run.ended - run.started  # type: ignore[assignment]
        self.runs.append(run)


class ExecutorApp:
    """Serve the requests of one executor."""

    def __init__(
        self, name: str, slots: int, connections: int, statistics: RunStatistics, rng: random.Random
    ) -> None:
        self.behaviour = Behaviour()
        self.running = 0
        self.started = 0
        self.server: EmbeddedServer | None = None
        self._name = name
        self._slots = slots
        self._connections = connections
        self._statistics = statistics
        self._rng = rng

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Run one request, or refuse it if all slots are in use."""
        if scope["type"] != "http":
            return
        headers = dict(scope["headers"])
        body = await read_body(receive, MAX_BODY_BYTES)
        if scope["method"] == "OPTIONS":
            await send_bytes(send, 204, b"")
            return
        if self.server and len(self.server.server_state.connections) > self._connections:
            self._statistics.over_connections += 1
        if self.running >= self._slots:
            self._statistics.refused += 1
            await send_bytes(send, 503, b"full", [(b"vanillawell-verdict", b"not-run")])
            return
        await self._run_request(scope, headers, body, send)

    async def _run_request(
        self, scope: Scope, headers: dict[bytes, bytes], body: bytes, send: Send
    ) -> None:
        behaviour = self.behaviour
        self.started += 1
        if behaviour.fail_fast:
            await send_bytes(send, 500, b"failed")
            return
        organisation = headers.get(b"vanillawell-organisation", b"-").decode()
        request = headers.get(b"vanillawell-request", b"-").decode()
        mark = headers.get(b"mark", b"").decode()
        started = time.monotonic()
        self.running += 1
        self._statistics.start(organisation)
        try:
            await anyio.sleep(self._run_time(headers))
        finally:
            self.running -= 1
            run = Run(
                request,
                organisation,
                self._name,
                scope["method"],
                scope["path"],
                mark,
                started,
                time.monotonic(),
            )
            self._statistics.end(run)
        await self._send_answer(request, body, send)

    def _run_time(self, headers: dict[bytes, bytes]) -> float:
        requested = headers.get(b"run-seconds")
        if requested:
            return float(requested)
        mean = self.behaviour.mean_seconds
        return mean if self.behaviour.fixed else self._rng.expovariate(1 / mean)

    async def _send_answer(self, request: str, body: bytes, send: Send) -> None:
        behaviour = self.behaviour
        if behaviour.silent:
            await anyio.sleep_forever()
        headers = [(b"content-type", b"text/plain"), (b"executor", self._name.encode())]
        if not behaviour.answer_bytes:
            await send_bytes(send, behaviour.status, request.encode() + b" " + body, headers)
            return
        await self._send_large_answer(behaviour.answer_bytes, headers, send)

    async def _send_large_answer(
        self, size: int, headers: list[tuple[bytes, bytes]], send: Send
    ) -> None:
        if not self.behaviour.chunked:
            headers.append((b"content-length", str(size).encode()))
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        for offset in range(0, size, len(ANSWER_CHUNK)):
            part = ANSWER_CHUNK[: size - offset]
            more = offset + len(part) < size
            await send({"type": "http.response.body", "body": part, "more_body": more})


class ControlApp:
    """Serve the control calls by which tests change behaviour and read statistics."""

    def __init__(self, executors: dict[str, ExecutorApp], statistics: RunStatistics) -> None:
        self._executors = executors
        self._statistics = statistics

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one control call."""
        if scope["type"] != "http":
            return
        request: dict[str, Any] = orjson.loads(await read_body(receive, MAX_BODY_BYTES) or b"{}")
        match scope["path"]:
            case "/control/behaviour":
                self._set_behaviour(request)
                await send_json(send, {"ok": True})
            case "/control/runs":
                await send_json(send, {"runs": [asdict(run) for run in self._statistics.runs]})
            case "/control/counts":
                await send_json(send, self._counts())
            case "/control/reset":
                self._reset()
                await send_json(send, {"ok": True})
            case _:
                await send_bytes(send, 404, b"")

    def _set_behaviour(self, request: dict[str, Any]) -> None:
        executors = request.pop("executors", None) or list(self._executors)
        for name in executors:
            for key, value in request.items():
                setattr(self._executors[name].behaviour, key, value)

    def _counts(self) -> dict[str, object]:
        statistics = self._statistics
        return {
            "runs": len(statistics.runs),
            "running": dict(statistics.running),
            "most_running": dict(statistics.max_running),
            "slot_seconds": dict(statistics.slot_seconds),
            "refused": statistics.refused,
            "over_connections": statistics.over_connections,
            "started": {name: item.started for name, item in self._executors.items()},
        }

    def _reset(self) -> None:
        statistics = self._statistics
        statistics.runs.clear()
        statistics.slot_seconds.clear()
        statistics.refused = 0
        statistics.max_running = Counter(statistics.running)


async def serve(
    host: str,
    control: int,
    executors: list[str],
    slots: int,
    seed: int,
    tls_context: ssl.SSLContext | None,
) -> None:
    """Serve all executors until the process is terminated."""
    statistics = RunStatistics()
    apps: dict[str, ExecutorApp] = {}
    rng = random.Random(seed)
    async with anyio.create_task_group() as tasks:
        for argument in executors:
            name, _, port = argument.partition("=")
            app = ExecutorApp(name, slots, 64, statistics, random.Random(rng.random()))
            app.server = server(app, keepalive=60, context=tls_context)
            apps[name] = app
            listener = bind(host, int(port), name)
            tasks.start_soon(_serve_socket, app.server, listener)
        control_server = server(ControlApp(apps, statistics))
        tasks.start_soon(_serve_socket, control_server, bind(host, control, "control"))


async def _serve_socket(running: EmbeddedServer, listener: Any) -> None:
    await running.serve(sockets=[listener])


def main(
    executors: Annotated[list[str], typer.Argument(help="NAME=PORT of each executor.")],
    control: Annotated[int, typer.Option(help="Port for control calls of tests.")],
    host: Annotated[str, typer.Option()] = "127.0.0.1",
    slots: Annotated[int, typer.Option()] = 8,
    seed: Annotated[int, typer.Option()] = 1,
    certificate: Annotated[
        Path | None, typer.Option(help="Certificate file; enables TLS together with the key.")
    ] = None,
    key: Annotated[Path | None, typer.Option(help="Key file of the certificate.")] = None,
) -> None:
    """Run the emulator of the backend servers."""
    tls = ServerTls(certificate=certificate, key=key) if certificate and key else None
    tls_context = server_context(tls) if tls else None
    options = {"use_uvloop": True}
    anyio.run(serve, host, control, executors, slots, seed, tls_context, backend_options=options)


if __name__ == "__main__":
    typer.run(main)
