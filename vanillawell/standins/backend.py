"""Run the backend servers' stand-in: executors with slots that record each request they run.

All executors of a deployment run in one process, so that it sees at every moment how many
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

BODY_BOUND = 64 * 2**20
"""Bytes of a request that are read at most."""

CHUNK = b"x" * 65_536
"""Part of a large answer."""


@dataclass(slots=True)
class Behaviour:
    """How an executor behaves; tests change it while it runs."""

    mean_seconds: float = 0.02
    """Mean of the exponentially distributed run time."""

    fixed: bool = False
    """Run for exactly the mean."""

    status: int = 200
    fail_fast: bool = False
    """Answer 500 at once, without running anything."""

    silent: bool = False
    """Run the request and never answer."""

    answer_bytes: int = 0
    """Size of the answer; 0 echoes the request's id."""

    chunked: bool = False
    """Send a large answer without saying its length first."""


@dataclass(frozen=True, slots=True)
class Run:
    """One request that an executor ran."""

    request: str
    organisation: str
    executor: str
    method: str
    path: str
    mark: str
    """What the test wrote into the Mark header, to count runs of one piece of work."""

    started: float
    ended: float


@dataclass(slots=True)
class Ledger:
    """What all executors together have seen."""

    runs: list[Run] = field(default_factory=list)
    running: Counter[str] = field(default_factory=Counter)
    most_running: Counter[str] = field(default_factory=Counter)
    slot_seconds: Counter[str] = field(default_factory=Counter)
    refused: int = 0
    over_connections: int = 0

    def start(self, organisation: str) -> None:
        """Note that a request begins to run."""
        self.running[organisation] += 1
        self.most_running[organisation] = max(
            self.most_running[organisation], self.running[organisation]
        )

    def end(self, run: Run) -> None:
        """Note that a request has ended."""
        self.running[run.organisation] -= 1
        self.slot_seconds[run.organisation] += run.ended - run.started  # type: ignore[assignment]
        self.runs.append(run)


class ExecutorApp:
    """One executor."""

    def __init__(
        self, name: str, slots: int, connections: int, ledger: Ledger, rng: random.Random
    ) -> None:
        self.behaviour = Behaviour()
        self.running = 0
        self.started = 0
        self.server: EmbeddedServer | None = None
        self._name = name
        self._slots = slots
        self._connections = connections
        self._ledger = ledger
        self._rng = rng

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Run one request, or refuse it when all slots are taken."""
        if scope["type"] != "http":
            return
        headers = dict(scope["headers"])
        body = await read_body(receive, BODY_BOUND)
        if scope["method"] == "OPTIONS":
            await send_bytes(send, 204, b"")
            return
        if self.server and len(self.server.server_state.connections) > self._connections:
            self._ledger.over_connections += 1
        if self.running >= self._slots:
            self._ledger.refused += 1
            await send_bytes(send, 503, b"full", [(b"vanillawell-verdict", b"not-run")])
            return
        await self._run(scope, headers, body, send)

    async def _run(
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
        self._ledger.start(organisation)
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
            self._ledger.end(run)
        await self._answer(request, body, send)

    def _run_time(self, headers: dict[bytes, bytes]) -> float:
        asked = headers.get(b"run-seconds")
        if asked:
            return float(asked)
        mean = self.behaviour.mean_seconds
        return mean if self.behaviour.fixed else self._rng.expovariate(1 / mean)

    async def _answer(self, request: str, body: bytes, send: Send) -> None:
        behaviour = self.behaviour
        if behaviour.silent:
            await anyio.sleep_forever()
        headers = [(b"content-type", b"text/plain"), (b"executor", self._name.encode())]
        if not behaviour.answer_bytes:
            await send_bytes(send, behaviour.status, request.encode() + b" " + body, headers)
            return
        await self._answer_large(behaviour.answer_bytes, headers, send)

    async def _answer_large(
        self, size: int, headers: list[tuple[bytes, bytes]], send: Send
    ) -> None:
        if not self.behaviour.chunked:
            headers.append((b"content-length", str(size).encode()))
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        for offset in range(0, size, len(CHUNK)):
            part = CHUNK[: size - offset]
            more = offset + len(part) < size
            await send({"type": "http.response.body", "body": part, "more_body": more})


class ControlApp:
    """Let tests change behaviour and read records."""

    def __init__(self, executors: dict[str, ExecutorApp], ledger: Ledger) -> None:
        self._executors = executors
        self._ledger = ledger

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one control call."""
        if scope["type"] != "http":
            return
        request: dict[str, Any] = orjson.loads(await read_body(receive, BODY_BOUND) or b"{}")
        match scope["path"]:
            case "/control/behaviour":
                self._set_behaviour(request)
                await send_json(send, {"ok": True})
            case "/control/runs":
                await send_json(send, {"runs": [asdict(run) for run in self._ledger.runs]})
            case "/control/counts":
                await send_json(send, self._counts())
            case "/control/reset":
                self._reset()
                await send_json(send, {"ok": True})
            case _:
                await send_bytes(send, 404, b"")

    def _set_behaviour(self, request: dict[str, Any]) -> None:
        names = request.pop("executors", None) or list(self._executors)
        for name in names:
            for key, value in request.items():
                setattr(self._executors[name].behaviour, key, value)

    def _counts(self) -> dict[str, object]:
        ledger = self._ledger
        return {
            "runs": len(ledger.runs),
            "running": dict(ledger.running),
            "most_running": dict(ledger.most_running),
            "slot_seconds": dict(ledger.slot_seconds),
            "refused": ledger.refused,
            "over_connections": ledger.over_connections,
            "started": {name: item.started for name, item in self._executors.items()},
        }

    def _reset(self) -> None:
        ledger = self._ledger
        ledger.runs.clear()
        ledger.slot_seconds.clear()
        ledger.refused = 0
        ledger.most_running = Counter(ledger.running)


async def serve(
    host: str,
    control: int,
    executors: list[str],
    slots: int,
    seed: int,
    context: ssl.SSLContext | None,
) -> None:
    """Serve all executors until the process is ended."""
    ledger = Ledger()
    apps: dict[str, ExecutorApp] = {}
    rng = random.Random(seed)
    async with anyio.create_task_group() as tasks:
        for text in executors:
            name, _, port = text.partition("=")
            app = ExecutorApp(name, slots, 64, ledger, random.Random(rng.random()))
            app.server = server(app, keepalive=60, context=context)
            apps[name] = app
            listener = bind(host, int(port), name)
            tasks.start_soon(_serve_one, app.server, listener)
        control_server = server(ControlApp(apps, ledger))
        tasks.start_soon(_serve_one, control_server, bind(host, control, "control"))


async def _serve_one(running: EmbeddedServer, listener: Any) -> None:
    await running.serve(sockets=[listener])


def main(
    executors: Annotated[list[str], typer.Argument(help="NAME=PORT of each executor.")],
    control: Annotated[int, typer.Option(help="Port of the tests' control calls.")],
    host: Annotated[str, typer.Option()] = "127.0.0.1",
    slots: Annotated[int, typer.Option()] = 8,
    seed: Annotated[int, typer.Option()] = 1,
    certificate: Annotated[Path | None, typer.Option(help="Turns TLS on.")] = None,
    key: Annotated[Path | None, typer.Option(help="The certificate's key.")] = None,
) -> None:
    """Run the backend servers' stand-in."""
    tls = ServerTls(certificate=certificate, key=key) if certificate and key else None
    context = server_context(tls) if tls else None
    options = {"use_uvloop": True}
    anyio.run(serve, host, control, executors, slots, seed, context, backend_options=options)


if __name__ == "__main__":
    typer.run(main)
