"""A small installation: store, machines, executors and the project's own processes."""

from __future__ import annotations

import asyncio
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any, Callable

from review.standin_executor import Executor, Log
from review.standin_store import Store
from review.standin_web import Server, call

ROOT = Path(__file__).resolve().parents[1]
MOST_SECONDS = 105
HOST = "jobs.example"
PREFIX = "/jobs/"
KEY = "key-of-north"
BOUNDS = {
    "lease_most_ms": 10_000,
    "kill_grace_ms": 900,
    "revoke_ms": 5000,
    "strict_revoke": True,
    "state_kept_s": 120,
    "duty_lease_ms": 3000,
    "grace_s": 6,
    "drain_ms": 2000,
    "remote_factor": 2.0,
}
"""Bounds of the site zds-obnova of SYSTEM.md, under the names of deploy/settings.json."""


_given_ports: set[int] = set()


def free_address() -> str:
    """Return a loopback address that is free, below the ports that outgoing connections take.

    The processes of the case bind it later, and again after a restart.
    """
    for _ in range(1_000):
        port = random.randrange(12_000, 32_000)
        if port in _given_ports:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _given_ports.add(port)
        return f"127.0.0.1:{port}"
    raise RuntimeError("no free port")


class Entry:
    """One process of the project, started as the deploy file says."""

    def __init__(self, name: str, zone: str, folder: Path, store: str, machines: str) -> None:
        self.name = name
        self.caller, self.ready = free_address(), free_address()
        self._settings = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        document = {
            "instance": name,
            "zone": zone,
            "zones": ["a", "b", "c"],
            "caller": self.caller,
            "ready": self.ready,
            "metrics": free_address(),
            "store": store,
            "machines": machines,
            "advice": "",
            "shortest_lease_ms": 1000,
            "capacity": {"processor_share": 0.537, "processor_speed": 2, "link_mbit": 1000.0},
            "bounds": BOUNDS,
        }
        self._settings.write_text(json.dumps(document))
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = shlex.split(deploy["roles"]["entry"]["run"])
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["VANILLAWELL_SETTINGS"] = str(self._settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self._log.open("ab") as output:
            self.process = subprocess.Popen(
                words, cwd=ROOT, env=environment, stdout=output, stderr=output
            )

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()

    @property
    def log_text(self) -> str:
        return self._log.read_text(errors="replace") if self._log.exists() else ""


class Installation:
    """Everything that one case needs; use as an async context manager."""

    def __init__(
        self,
        pools: dict[str, int],
        seconds: Callable[[str], float],
        cpu: int = 64_000,
        memory: int = 131_072,
        entries: int = 3,
        tenants: list[dict[str, Any]] | None = None,
        attempts: int = 3,
        further_queues: int = 0,
    ) -> None:
        self.log = Log()
        self.store = Store()
        self.executors: dict[str, Executor] = {}
        self.servers: dict[str, Server] = {}
        self.entries: list[Entry] = []
        self._pools, self._cpu, self._memory = pools, cpu, memory
        self._seconds, self._count, self._attempts = seconds, entries, attempts
        self._further_queues = further_queues
        self._tenants = tenants or [{"name": "north", "apiKeys": [KEY], "weight": 100}]
        self._facts: dict[str, dict[str, Any]] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._folder = tempfile.TemporaryDirectory(prefix="review-")

    async def __aenter__(self) -> "Installation":
        try:
            await self._set_up()
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def _set_up(self) -> None:
        self._spawn(self.store.tick())
        store = Server(self.store.handle)
        machines = Server(self._handle_machines)
        self.servers["store"], self.servers["machines"] = store, machines
        await store.start()
        await machines.start()
        self.store.put_document("op/config", self.config(1))
        for pool, count in self._pools.items():
            for number in range(count):
                await self._add_executor(pool, number)
        self._spawn(self._beat())
        folder = Path(self._folder.name)
        for number in range(self._count):
            entry = Entry(
                f"entry-{number}", "abc"[number % 3], folder, store.address, machines.address
            )
            self.entries.append(entry)
            entry.start()
        await self.wait_until_ready()

    async def __aexit__(self, *_: object) -> None:
        for entry in self.entries:
            entry.end()
        for task in self._tasks:
            task.cancel()
        for server in self.servers.values():
            await server.stop()
        self._folder.cleanup()

    def config(self, version: int, with_further: bool = True) -> dict[str, Any]:
        """Return a config; `with_further` keeps the further queues of the first pool."""
        first = next(iter(self._pools))
        routes = [
            {
                "name": f"queue-{pool}",
                "host": HOST,
                "prefix": PREFIX if index == 0 else f"/{pool}/",
                "service": pool,
                "attempts": self._attempts,
                "priority": 0,
                "slackFactor": 1.6,
                "targetLatencyMs": 600,
            }
            for index, pool in enumerate(self._pools)
        ]
        further = [
            {**routes[0], "name": f"further-{number}", "prefix": f"/further-{number}/"}
            for number in range(self._further_queues if with_further else 0)
        ]
        routes += [{**route, "service": first} for route in further]
        services = [{"name": pool, "rejectsOverload": False} for pool in self._pools]
        return {
            "version": version,
            "routes": routes,
            "services": services,
            "tenants": self._tenants,
            "limits": {"maxBodyBytes": 262_144},
        }

    def _spawn(self, work: Any) -> None:
        self._tasks.append(asyncio.create_task(work))

    async def _add_executor(self, pool: str, number: int) -> None:
        name = f"{pool}-x{number}"
        executor = Executor(
            name,
            self.log,
            self._seconds,
            BOUNDS["lease_most_ms"] / 1000,
            BOUNDS["kill_grace_ms"] / 1000,
        )
        server = Server(executor.handle)
        await server.start()
        self.executors[name], self.servers[name] = executor, server
        self._spawn(executor.tick())
        self._facts[name] = {
            "service": pool,
            "address": server.address,
            "zone": "abc"[number % 3],
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "machine": f"m-{name}",
            "born": executor.born,
            "capacity": {"cpu": self._cpu, "memMb": self._memory, "gpu": 0},
            "labels": ["kind-a", f"r{number // 4}"],
        }
        self._register(name, 1)

    def _register(self, name: str, sequence: int) -> None:
        self.store.put_document(f"servers/{name}", {**self._facts[name], "seq": sequence})

    async def _beat(self) -> None:
        for sequence in range(2, 1_000_000):
            await asyncio.sleep(1.4)
            for name in self._facts:
                self._register(name, sequence)

    async def _handle_machines(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, Any]:
        if method == "GET":
            rows = [
                {
                    "machine": facts["machine"],
                    "pool": facts["service"],
                    "state": "up",
                    "zone": facts["zone"],
                    "labels": facts["labels"],
                    "capacity": facts["capacity"],
                    "id": name,
                }
                for name, facts in self._facts.items()
            ]
            return 200, {"machines": rows, "nextToken": None}
        return 409, {"reason": "busy"}

    async def wait_until_ready(self, seconds: float = 20.0) -> None:
        """Wait until every entry takes callers and one of them owns the work."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            answers = [await call(entry.ready, "GET", "/ready") for entry in self.entries]
            if all(status == 200 for status, _ in answers) and self.owner() is not None:
                await asyncio.sleep(1.0)
                return
            await asyncio.sleep(0.1)
        raise NotReady("\n".join(entry.log_text[-2000:] for entry in self.entries))

    def owner(self) -> Entry | None:
        """Return the entry whose name the store holds under a lease, if any."""
        for key, item in self.store.items.items():
            if item["lease"] and "/holder/" in key and not key.endswith("/bid"):
                name = self.store.read_document(key)["name"].partition("/")[0]
                return next(entry for entry in self.entries if entry.name == name)
        return None

    async def call(
        self,
        method: str,
        job: str,
        document: Any = None,
        entry: Entry | None = None,
        prefix: str = PREFIX,
    ) -> tuple[int, Any]:
        """Make one call as a consumer, which asks again elsewhere after no answer."""
        others = [e for e in self.entries if e is not entry and e.process.poll() is None]
        order = [entry, *others] if entry else others
        headers = {"Host": HOST, "X-Key": KEY, "X-Deadline-Ms": "3000"}
        status, content = 0, None
        for _ in range(5):
            for target in order:
                status, content = await call(target.caller, method, prefix + job, document, headers)
                self.log.write(f"{method} {prefix}{job} at {target.name}: {status} {content}")
                if status not in (0, 429, 502, 503, 504):
                    return status, content
                await asyncio.sleep(0.3)
        return status, content


class NotReady(Exception):
    """The installation did not come up."""


def job(count: int, **fields: Any) -> dict[str, Any]:
    """Return the body of a job with one step."""
    return {"spec": "text", "steps": [{"count": count, **fields}]}


def finish(folder: Path, log: Log, verdict: list[str], summary: list[str]) -> int:
    """Write the record and return the exit code."""
    lines = [*summary, *(verdict or ["the rule held"]), "", *log.lines]
    (folder / "record.txt").write_text("\n".join(lines) + "\n")
    print("\n".join([*summary, *(verdict[:10] or ["the rule held"])]))
    return 1 if verdict else 0


def run(main: Callable[[bool], Any]) -> None:
    """Run a case without the disruption if TROUBLE is 0; exits with 2 if it couldn't run.

    A signal that ends the script ends the processes that it started, too.
    """
    sys.exit(asyncio.run(_run(main, os.environ.get("TROUBLE", "1") != "0")))


async def _run(main: Callable[[bool], Any], trouble: bool) -> int:
    task = asyncio.ensure_future(main(trouble))
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        return await asyncio.wait_for(task, MOST_SECONDS)
    except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001
        print(f"the case couldn't run: {error!r}", file=sys.stderr)
        return 2
