"""Start the scheduler's processes with stand-ins on loopback addresses, and record what they see.

The stand-ins of the store, the executors and the machines are those of the project
(`vanillawell.standins.scheduler`), with the checks and faults that a case needs added here.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import logging
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import anyio
import orjson

from vanillawell.standins.scheduler.executor import Audit, StandInExecutor
from vanillawell.standins.scheduler.machines import StandInMachine, StandInMachines
from vanillawell.standins.scheduler.store import StandInStore
from vanillawell.transport.asgi import bind, read_body, send_bytes, server

ROOT = Path(__file__).resolve().parents[1]
HOST, PREFIX, SERVICE = "jobs.example", "/jobs/", "pool-a"
KEYS = {"north": "key-of-north", "south": "key-of-south"}

BOUNDS = {
    "lease_most_ms": 6000, "kill_grace_ms": 400, "revoke_ms": 5000, "strict_revoke": True,
    "state_kept_s": 120, "duty_lease_ms": 3000, "grace_s": 6, "drain_ms": 2000, "remote_factor": 1.5,
}
"""The bounds of the small deployment whose site file the cases name."""

STABILITY_S, CANCEL_S, DRAIN_S, FINISH_S, KILL_GRACE_S = 3.0, 3.0, 2.0, 14.0, 0.4
VALUE_BYTES = 1_048_576
MIGRATE_S = 1.5
STANDBY = "spare"


class Record:
    """What was sent, answered and run, in the order in which it was seen."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._began

    def write(self, text: str) -> None:
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


class Store(StandInStore):
    """The project's stand-in, which also keeps to `valueBytes` and can carry out a write late."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record = record
        self.late: dict[str, float] = {}
        """Keys whose next creation is carried out so many seconds late, without an answer."""
        self.oversized = 0
        self.writes = 0
        self.unanswered = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        body = await read_body(receive, 64_000_000)
        if scope["path"] == "/kv-txn":
            document = orjson.loads(body)
            self.writes += 1
            for put in document.get("puts", []):
                size = len(base64.b64decode(put["value"]))
                if size > VALUE_BYTES:
                    self.oversized += 1
                    if self.oversized <= 3:
                        self.record.write(f"store: 400, {put['key']} has {size} bytes")
                    await send_bytes(send, 400, b"{}")
                    return
            late = [self.late.get(put["key"], 0.0) for put in document.get("puts", [])]
            if max(late, default=0.0):
                self.unanswered += 1
                self.record.write(f"store: write unanswered, carried out in {max(late)} s")
                task = asyncio.create_task(self._carry_out(body, max(late)))
                self.tasks.add(task)
                await anyio.sleep_forever()

        async def replay() -> dict[str, Any]:
            return {"type": "http.request", "body": body, "more_body": False}

        await super().__call__(scope, replay, send)

    async def _carry_out(self, body: bytes, delay: float) -> None:
        await anyio.sleep(delay)
        status, _ = self._apply("/kv-txn", body)
        self.record.write(f"store: late write carried out, {status}")


class Executor(StandInExecutor):
    """The project's stand-in, which records its starts and ends."""

    record: Record
    starts: list[tuple[float, str, int]]
    ends: list[tuple[float, str, int, str]]
    reporting: set[str]
    machine: str
    state: dict[str, Any]
    """Fields of its entry that differ from those of a ready one."""

    def _start_run(self, document: dict[str, Any]) -> str:
        before = self.start_count
        reason = super()._start_run(document)
        if self.start_count > before:
            if "lasts" not in document["spec"]:
                # It reports its true progress and saves none of it.
                self.reporting.add(document["task"])
                self._active_runs[document["task"]].saves_progress = True
            self.starts.append((time.monotonic(), document["task"], document["run"]))
            self.record.write(f"{self.name}: starts {document['task']} run {document['run']}")
        return reason

    def _end_run(self, run: Any, outcome: str) -> None:
        run.saves_progress = run.saves_progress and run.task not in self.reporting
        super()._end_run(run, outcome)
        self.ends.append((time.monotonic(), run.task, run.number, outcome))
        self.record.write(f"{self.name}: {run.task} run {run.number} ends {outcome}")


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def config(version: int = 1, **route: Any) -> dict[str, Any]:
    """Return a configuration with one queue and two tenants without a maximum."""
    return {
        "version": version,
        "routes": [{
            "name": "plain", "host": HOST, "prefix": PREFIX, "service": SERVICE, "attempts": 3,
            "priority": 1, "slackFactor": 1.6, "targetLatencyMs": 600, **route,
        }],
        "services": [{"name": SERVICE, "rejectsOverload": False}],
        "tenants": [
            {"name": name, "apiKeys": [key], "weight": 10} for name, key in KEYS.items()
        ],
        "limits": {"maxBodyBytes": 262_144},
    }


class Fleet:
    """Stand-ins and scheduler processes of one case."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder / "record.txt")
        self.store = Store(self.record)
        self.machines = StandInMachines()
        self.audit = Audit()
        self.executors: list[StandInExecutor] = []
        self.addresses: dict[str, str] = {}
        self.parts: dict[str, list[Any]] = {}
        """Of each executor: its server and the tasks that keep it going."""
        self.lives = 0
        self.entries: list[str] = []
        self.processes: list[subprocess.Popen[bytes]] = []
        self._temporary = tempfile.TemporaryDirectory()
        self._servers: list[asyncio.Task[None]] = []
        self._logs: list[Any] = []
        self.machines.on_move = self._move
        self.machines.set_task_group(self)
        self.store_address = self.serve(self.store)
        self.machines_address = self.serve(self.machines)
        self.spawn(self.store.tick())

    def start_soon(self, function: Any, *arguments: Any) -> None:
        self.spawn(function(*arguments))

    def spawn(self, work: Any) -> None:
        self._servers.append(asyncio.create_task(work))

    def serve(self, app: Any) -> str:
        return self._serve(app)[0]

    def _serve(self, app: Any) -> tuple[str, Any]:
        listener = bind("127.0.0.1", 0, "stand-in")
        # Inherited by its connections: answers go out at once, without a delayed acknowledgement.
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        serving = server(app, stop_timeout=0)
        self.spawn(serving.serve([listener]))
        return f"127.0.0.1:{listener.getsockname()[1]}", serving

    def add_executor(self, name: str, cpu: int = 32_000, app: Any = None) -> Executor:
        executor = self._join(name, f"machine-{name}", cpu, app)
        self.machines.machines[executor.machine] = StandInMachine(executor.machine, SERVICE, name)
        return executor

    def _join(self, name: str, machine: str, cpu: int, app: Any = None) -> Executor:
        executor = Executor(name, self.audit, self.executors, cpu, int(time.time() * 1000))
        executor.record, executor.starts, executor.ends = self.record, [], []
        executor.reporting, executor.state, executor.machine = set(), {}, machine
        self.executors.append(executor)
        self.addresses[name], serving = self._serve(app(executor) if app else executor)
        kept = [asyncio.create_task(executor.tick()), asyncio.create_task(self._beat(executor))]
        self._servers.extend(kept)
        self.parts[name] = [serving, *kept]
        return executor

    async def _move(self, machine: StandInMachine) -> None:
        """Carry out a move: all on the machine ends at once, and a new executor joins the pool.

        Machines of the standby pool are off.
        """
        self.record.write(f"{machine.name} moves to {machine.pool}")
        for executor in list(self.executors):
            if executor.machine == machine.name and executor.name in self.parts:
                serving, *kept = self.parts.pop(executor.name)
                for task in kept:
                    task.cancel()
                executor._active_runs.clear()
                for listening in serving.servers:
                    listening.close()
                for protocol in list(serving.server_state.connections):
                    protocol.transport.abort()
                self.store.delete(f"servers/{executor.name}")
        machine.state, machine.executor = "moving", ""
        await anyio.sleep(MIGRATE_S)
        machine.state = "up"
        if machine.pool == STANDBY:
            return
        self.lives += 1
        machine.executor = f"{machine.name.removeprefix('machine-')}-l{self.lives}"
        self._join(machine.executor, machine.name, 32_000)

    async def _beat(self, executor: Executor) -> None:
        """Write the executor's entry about every heartbeatMs."""
        sequence = 0
        while True:
            sequence += 1
            self.register(executor, sequence)
            await anyio.sleep(1.5)

    def register(self, executor: Executor, sequence: int = 1) -> None:
        document = {
            "service": SERVICE, "address": self.addresses[executor.name], "zone": "riga-a",
            "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
            "machine": executor.machine, "born": executor.born,
            "capacity": {"cpu": executor.cpu, "memMb": 131_072, "gpu": 0},
            "labels": ["a", "r1"], "seq": sequence,
        }
        self.store.put_document(f"servers/{executor.name}", {**document, **executor.state})

    def start_entry(self, index: int) -> None:
        """Start one scheduler process as the deploy file does."""
        folder = Path(self._temporary.name)
        address = f"127.0.0.1:{free_port()}"
        settings = {
            "instance": f"front-riga-a-{index}", "zone": "riga-a", "zones": ["riga-a"],
            "caller": address, "ready": f"127.0.0.1:{free_port()}",
            "metrics": f"127.0.0.1:{free_port()}", "store": self.store_address,
            "machines": self.machines_address, "shortest_lease_ms": 1000,
            "capacity": {"processor_share": 0.537, "processor_speed": 2, "link_mbit": 1000.0},
            "bounds": BOUNDS,
        }
        path = folder / f"settings-{index}.json"
        path.write_text(json.dumps(settings))
        log = (folder / f"log-{index}.txt").open("wb")
        self._logs.append(log)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment |= {"VANILLAWELL_SETTINGS": str(path), "PYTHONPATH": "target/deps"}
        self.processes.append(
            subprocess.Popen(
                ["python3", "-m", "vanillawell.platform"], cwd=ROOT, env=environment,
                stdout=log, stderr=subprocess.STDOUT,
            )
        )
        self.entries.append(address)

    def log_lines(self, index: int) -> list[dict[str, Any]]:
        text = (Path(self._temporary.name) / f"log-{index}.txt").read_text()
        found = []
        for line in text.splitlines():
            with contextlib.suppress(ValueError):
                found.append(json.loads(line))
        return found

    def log_tail(self, index: int, lines: int = 40) -> str:
        text = (Path(self._temporary.name) / f"log-{index}.txt").read_text()
        return "\n".join(text.splitlines()[-lines:])

    async def call(
        self, entry: int, method: str, job: str, body: bytes = b"", tenant: str = "north",
        wait_ms: int = 3000, quiet: bool = False,
    ) -> tuple[int, Any]:
        """Make one call as a consumer; return the status and the document, or 0 without an answer."""
        host, port = self.entries[entry].split(":")
        head = (
            f"{method} {PREFIX}{job} HTTP/1.1\r\nHost: {HOST}\r\nX-Key: {KEYS[tenant]}\r\n"
            f"X-Deadline-Ms: {wait_ms}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        status, document = 0, None
        try:
            async with asyncio.timeout(wait_ms / 1000):
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    writer.write(head.encode() + body)
                    answer = await reader.read()
                finally:
                    writer.close()
            top, _, content = answer.partition(b"\r\n\r\n")
            status = int(top.split()[1]) if top else 0
            with contextlib.suppress(ValueError):
                document = json.loads(content)
        except (OSError, TimeoutError):
            pass
        if not quiet:
            self.record.write(f"consumer {tenant}: {method} {job} at entry {entry} -> {status} {document}")
        return status, document

    async def begin(self, entries: int = 3, standby: bool = False) -> bool:
        """Start the entries and wait until all serve and one owns the shard.

        With `standby`, the config names a standby pool, so that the owner sizes the pools.
        """
        document = config()
        if standby:
            document["services"].append({"name": STANDBY, "standby": True})
        self.store.put_document("op/config", document)
        for index in range(entries):
            self.start_entry(index)
        for _ in range(150):
            await anyio.sleep(0.1)
            statuses = [(await self.call(i, "GET", "", quiet=True))[0] for i in range(entries)]
            if all(status == 200 for status in statuses) and "vanillawell/holder/all" in self.store.items:
                await anyio.sleep(2.0)
                return True
        return False

    async def end(self) -> None:
        """End all processes that this case started."""
        for process in self.processes:
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
        for process in self.processes:
            process.wait()
        for log in self._logs:
            log.close()
        if os.environ.get("KEEP_LOGS"):
            for path in Path(self._temporary.name).glob("log-*"):
                Path(os.environ["KEEP_LOGS"], path.name).write_bytes(path.read_bytes())
        for task in (*self._servers, *self.store.tasks):
            task.cancel()
        self._temporary.cleanup()


def job(*steps: dict[str, Any], spec: dict[str, Any] | None = None, **fields: Any) -> bytes:
    """Return the body of a job; `spec` tells the stand-in executor what its tasks do."""
    return json.dumps({"spec": json.dumps(spec or {}), "steps": steps, **fields}).encode()


logging.disable(logging.CRITICAL)
"""Stand-ins are cancelled while calls wait; their servers would log each of them."""

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def main(folder: Path, case: Any) -> None:
    """Run `case`, a coroutine function of the fleet; exit with what it returns."""

    async def play() -> int:
        # A script that is told to stop ends its processes first.
        this = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, this.cancel)
        fleet = Fleet(folder)
        try:
            async with asyncio.timeout(115):
                code = int(await case(fleet))
        except (TimeoutError, asyncio.CancelledError) as error:
            fleet.record.write(f"the case did not end: {error!r}")
            code = 2
        except Exception as error:  # noqa: BLE001
            fleet.record.write(f"the case failed: {error!r}")
            code = 2
        finally:
            await fleet.end()
        word = {0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code]
        fleet.record.write(f"exit {code}: {word}")
        print(f"{folder.name}: exit {code}: {word}")
        return code

    try:
        code = asyncio.run(play())
    except Exception as error:  # noqa: BLE001
        print(f"{folder.name}: exit 2: {error!r}", file=sys.stderr)
        raise SystemExit(2) from error
    raise SystemExit(code)
