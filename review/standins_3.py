"""Stand-ins of the platform for the scripts of the third review, on loopback addresses.

One process plays the store, the machines' service, the executors and the consumers, as the users'
pages describe them, and starts the programs of the deploy file as processes of their own. Only the
standard library is used.
"""

from __future__ import annotations

import asyncio
import base64
import bisect
import itertools
import json
import os
import random
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
PAGE = 500
IDLE_S = 15.0
CHANNELS = 64
HOST = "jobs.example"


def free_port() -> int:
    """Return a free port below those that outgoing channels of other programs are given."""
    while True:
        port = random.randrange(10_000, 30_000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


class Record:
    """The file that says what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self.began = time.monotonic()
        self.path = folder / "record.txt"
        self.file = self.path.open("w", encoding="utf-8")
        self.broken: list[str] = []

    def now(self) -> float:
        return time.monotonic() - self.began

    def write(self, *parts: object) -> None:
        line = f"{self.now():8.3f} " + " ".join(str(part) for part in parts)
        self.file.write(line + "\n")
        self.file.flush()

    def breaks(self, rule: str, text: str) -> None:
        self.broken.append(f"{rule}: {text}")
        self.write("BROKEN", rule, text)


class Drop(Exception):
    """The call gets no answer."""


class HttpServer:
    """A small HTTP/1.1 server; `handle(method, target, headers, body)` returns status and document."""

    def __init__(self, handle, port: int = 0, most: int = 0) -> None:
        """`most` channels are open at the same time, if it is not 0; others are closed at once."""
        self.handle, self.most = handle, most
        self.port = port or free_port()
        self.server = None
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, backlog=512)

    async def stop(self) -> None:
        """Stop as a killed process does: connections are reset, new ones refused."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        if self.most and len(self.writers) >= self.most:
            writer.close()
            return
        self.writers.add(writer)
        try:
            while True:
                head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), IDLE_S)
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    if name:
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                try:
                    status, document = await self.handle(method, target, headers, body)
                except Drop:
                    await asyncio.sleep(3600)
                    return
                data = json.dumps(document).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        except asyncio.TimeoutError:
            pass  # idle for long; both ends know the channel to be closed
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's metadata store."""

    def __init__(self) -> None:
        self.items: dict[str, dict] = {}
        self.revision = 10
        self.history: list[dict] = []
        self.leases: dict[int, list[float]] = {}
        self.numbers = itertools.count(70_001)
        self.changed = asyncio.Event()
        self.on_txn = None
        """Asked before each change under a condition; may wait or raise `Drop`."""
        self.http = HttpServer(self.handle)

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def _put(self, key: str, value: str, lease: int) -> None:
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": value, "revision": self.revision, "created": created}
        self.items[key] = {**item, "lease": lease}
        self.history.append(self.items[key])

    def _delete(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.history.append({"key": key, "revision": self.revision, "tombstone": True})

    def put(self, key: str, document: object) -> None:
        """Write a document as the operator or an executor does."""
        self.revision += 1
        self._put(key, base64.b64encode(json.dumps(document).encode()).decode(), 0)
        self._notify()

    def delete(self, key: str) -> None:
        self.revision += 1
        self._delete(key)
        self._notify()

    def read(self, key: str):
        item = self.items.get(key)
        return None if item is None else json.loads(base64.b64decode(item["value"]) or b"null")

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._delete(key)
            self._notify()

    def _expire(self) -> None:
        now = time.monotonic()
        for lease in [lease for lease, (_, until) in self.leases.items() if until < now]:
            self._end_lease(lease)

    async def tick(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            self._expire()

    async def handle(self, method, target, headers, body):
        await asyncio.sleep(0.003)
        self._expire()
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"storeRevision": self.revision}
            return 200, {**item, "storeRevision": self.revision}
        if parts.path == "/kv-range":
            after, prefix = query.get("after", ""), query["prefix"]
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            page = [self.items[key] for key in keys[:PAGE]]
            more = len(keys) > PAGE
            return 200, {"items": page, "hasMore": more, "storeRevision": self.revision}
        if parts.path == "/kv-watch":
            return await self._watch(query)
        document = json.loads(body) if body else {}
        if parts.path == "/kv-txn":
            if self.on_txn is not None:
                await self.on_txn(document)
            return self._transact(document)
        if parts.path == "/kv-lease":
            lease, ttl = next(self.numbers), document["ttlMs"]
            self.leases[lease] = [ttl / 1000, time.monotonic() + ttl / 1000]
            return 200, {"lease": lease, "ttlMs": ttl}
        lease = int(parts.path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            self._end_lease(lease)
            return 200, {}
        self.leases[lease][1] = time.monotonic() + self.leases[lease][0]
        return 200, {"ttlMs": int(self.leases[lease][0] * 1000)}

    def _events(self, prefix: str, after: int) -> list[dict]:
        first = bisect.bisect_right(self.history, after, key=lambda event: event["revision"])
        later = itertools.islice(self.history, first, None)
        return [event for event in later if event["key"].startswith(prefix)]

    async def _watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while not self._events(prefix, after) and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        return 200, {"events": self._events(prefix, after), "storeRevision": self.revision}

    def _transact(self, document):
        conditions = document.get("expect", [])
        current = [
            self.items.get(row["key"], {"key": row["key"], "revision": 0}) for row in conditions
        ]
        if any(a["revision"] != b["revision"] for a, b in zip(conditions, current)):
            return 412, {"items": current}
        puts = document.get("puts", [])
        if any(row.get("lease") and row["lease"] not in self.leases for row in puts):
            return 404, {}
        self.revision += 1
        for row in puts:
            self._put(row["key"], row["value"], row.get("lease", 0))
        for key in document.get("delete", []):
            self._delete(key)
        self._notify()
        return 200, {"revision": self.revision}


class Gang:
    """One run of a gang, on whichever executors its members are."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.members: dict[str, tuple[Executor, Run]] = {}
        self.began: float | None = None
        self.ended = ""


class Run:
    """One run on an executor; `spec` of the job says how long it works."""

    def __init__(self, task: str, number: int, spec: dict, saved: str, cpu: int) -> None:
        self.task, self.number, self.spec, self.cpu = task, number, spec, cpu
        self.arrived = time.monotonic()
        self.began: float | None = None if spec.get("gang") else self.arrived
        self.before = int(saved[:8], 16) / 1000 if saved else 0.0
        self.saved = saved
        self.paced = 100

    @property
    def work(self) -> float:
        """Seconds of work, with those of earlier runs that it resumed from."""
        return self.before + (time.monotonic() - self.began if self.began is not None else 0.0)

    def percent(self) -> int:
        if self.spec.get("lasts"):
            began = self.began is not None
            return 100 if began and time.monotonic() - self.began > self.spec["lasts"] else 0
        return min(100, int(100 * self.work / self.spec.get("seconds", 0.3)))


class Fleet:
    """All executors, their machines and what is judged of them together."""

    def __init__(self, record: Record, store: Store, **limits: float) -> None:
        self.record, self.store = record, store
        self.kill_grace = limits.get("kill_grace", 0.4)
        self.hold_max = limits.get("hold_max", 6.0)
        self.gang_timeout = limits.get("gang_timeout", 3.0)
        self.checkpoint_s = limits.get("checkpoint_s", 0.5)
        self.heartbeat = limits.get("heartbeat", 1.5)
        self.executors: dict[str, Executor] = {}
        self.gangs: dict[tuple[str, int], Gang] = {}
        self.starts: list[tuple[float, str, int, str, str, int]] = []
        """Time, task, run, executor, checkpoint and fence of each start."""
        self.ends: list[tuple[float, str, int, str, str]] = []
        self.confirmed: dict[tuple[str, int], float] = {}
        """When the end `done` of a run was taken note of."""
        self.on_start = None

    async def crash(self, executors, down_s: float) -> None:
        """Crash several executors at the same moment, as a rack does that loses power."""
        for executor in executors:
            executor.up = False
        await asyncio.gather(*(executor.crash(down_s) for executor in executors))

    def running(self, task: str) -> list[tuple[Executor, Run]]:
        return [(e, e.runs[task]) for e in self.executors.values() if e.up and task in e.runs]

    async def tick(self) -> None:
        while True:
            await asyncio.sleep(0.005)
            for executor in list(self.executors.values()):
                executor.end_due()

    async def beat(self) -> None:
        while True:
            for executor in list(self.executors.values()):
                executor.beat()
            await asyncio.sleep(self.heartbeat)


class Executor:
    """One executor (its present life) and its machine."""

    def __init__(self, fleet: Fleet, name: str, service: str, **facts) -> None:
        self.fleet, self.name, self.service = fleet, name, service
        self.machine = facts.get("machine", f"m-{name}")
        self.zone = facts.get("zone", "a")
        self.rack = facts.get("rack", "r1")
        self.kind = facts.get("kind", "k")
        self.cpu = facts.get("cpu", 8000)
        self.up = True
        self.reachable = True
        self.draining = False
        self.remaining = 0.0
        self.registered_until = float("inf")
        self.seq = 0
        self.http = HttpServer(self.handle, most=CHANNELS)
        self.order_filter = None
        self._new_life()
        fleet.executors[name] = self

    def _new_life(self) -> None:
        self.life_began = time.monotonic()
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.lease_end = 0.0
        self.runs: dict[str, Run] = {}
        self.closed: dict[str, int] = {}
        self.finished: list[list] = []
        self.numbers = itertools.count(1)
        self.stops: dict[str, float] = {}
        self.reported: dict[str, str] = {}
        self.ended = asyncio.Event()

    @property
    def clock(self) -> int:
        return int((time.monotonic() - self.life_began) * 1000)

    def beat(self) -> None:
        if not self.up or not self.reachable:
            return
        self.seq += 1
        self.fleet.store.put(f"servers/{self.name}", self.entry())

    def entry(self) -> dict:
        entry = {
            "service": self.service, "address": self.http.address, "zone": self.zone,
            "version": "v1", "slots": 8, "state": "draining" if self.draining else "ready",
            "coldRemainingMs": 0, "machine": self.machine, "born": self.born,
            "capacity": {"cpu": self.cpu, "memMb": 64_000, "gpu": 0},
            "labels": [self.kind, self.rack], "clockMs": self.clock, "seq": self.seq,
        }
        if self.draining:
            entry["remainingMs"] = max(0, int(self.remaining * 1000))
        return entry

    async def crash(self, down_s: float) -> None:
        """Lose all at once, and start again under the same id after `down_s` seconds."""
        self.fleet.record.write("crash", self.name, "running", sorted(self.runs))
        self.up = False
        for run in list(self.runs.values()):
            self._leave_gang(run, "broken")
        self.runs.clear()
        await self.http.stop()
        lapse = 3 * self.fleet.heartbeat
        if down_s > lapse:
            await asyncio.sleep(lapse)
            self.fleet.store.delete(f"servers/{self.name}")
        await asyncio.sleep(min(down_s, max(0.0, down_s - lapse) or down_s))
        self._new_life()
        self.up = True
        await self.http.start()
        self.fleet.record.write("back", self.name, "born", self.born)
        self.beat()

    async def leave(self, notice_s: float) -> None:
        """Report `draining`, go on for `notice_s` seconds, then end for good."""
        self.draining, until = True, time.monotonic() + notice_s
        while time.monotonic() < until:
            self.remaining = until - time.monotonic()
            self.beat()
            await asyncio.sleep(min(0.5, max(0.01, until - time.monotonic())))
        self.up = False
        for run in list(self.runs.values()):
            self.fleet.record.write("lost with its executor", run.task, "run", run.number, self.name)
        self.runs.clear()
        self.fleet.store.delete(f"servers/{self.name}")
        await self.http.stop()
        del self.fleet.executors[self.name]

    async def handle(self, method, target, headers, body):
        if not self.reachable:
            raise Drop
        self.end_due()
        if headers.get("x-expect-instance", self.name) != self.name:
            return 421, {}
        document = json.loads(body)
        if self.order_filter is not None:
            answer = await self.order_filter(target, document)
            if answer is not None:
                return answer
        return await self.carry_out(target, document)

    async def carry_out(self, target, document):
        fence = document.get("fence", 0)
        if fence < self.fence:
            return self._answer({"reason": "fence"}, 409)
        self.fence = fence
        if target == "/run-start":
            return self._start(document)
        if target == "/run-stop":
            return self._stop(document)
        if target == "/pace":
            run = self.runs.get(document["task"])
            if run is not None and run.number == document["run"]:
                run.paced = document["percent"]
            return self._answer({})
        return await self._hold(document)

    def _answer(self, document: dict, status: int = 200):
        return status, {**document, "clockMs": self.clock, "born": self.born}

    def _extend(self, document: dict) -> None:
        if "deadlineMs" in document:
            most = self.clock + self.fleet.hold_max * 1000
            self.lease_end = max(self.lease_end, min(document["deadlineMs"], most))

    def _start(self, document: dict):
        fleet, task, number = self.fleet, document["task"], document["run"]
        present = self.runs.get(task)
        if present is not None and present.number == number:
            self._extend(document)
            return self._answer({})
        if number <= self.closed.get(task, 0):
            self._extend(document)
            return self._answer({"reason": "old"}, 409)
        if document["deadlineMs"] <= self.clock:
            return self._answer({"reason": "late"}, 409)
        self._extend(document)
        spec = json.loads(document["spec"] or "{}")
        step = int(task.split(".")[2])
        spec = spec.get("steps", {}).get(str(step), spec)
        saved = document.get("lastCheckpoint", "")
        run = Run(task, number, spec, saved, spec.get("cpu", 1000))
        self.runs[task] = run
        row = (fleet.record.now(), task, number, self.name, saved, document["fence"])
        fleet.starts.append(row)
        fleet.record.write("start", task, "run", number, "on", self.name, "checkpoint", saved or "-")
        if fleet.on_start is not None:
            fleet.on_start(self, run, document)
        if spec.get("gang"):
            self._join_gang(run)
        return self._answer({})

    def _gang_key(self, run: Run) -> tuple[str, int]:
        return run.task.rpartition(".")[0], run.number

    def _join_gang(self, run: Run) -> None:
        gang = self.fleet.gangs.setdefault(self._gang_key(run), Gang(run.spec["gang"]))
        gang.members[run.task] = (self, run)
        if len(gang.members) == gang.size and gang.began is None:
            gang.began = time.monotonic()
            least = min(member.before for _, member in gang.members.values())
            for _, member in gang.members.values():
                member.began, member.before = gang.began, least

    def _leave_gang(self, run: Run, how: str) -> None:
        """End the other members of a gang whose member has ended."""
        if not run.spec.get("gang"):
            return
        gang = self.fleet.gangs.get(self._gang_key(run))
        if gang is None or gang.ended:
            return
        gang.ended = how
        for executor, member in gang.members.values():
            if member is not run and executor.up and executor.runs.get(member.task) is member:
                executor.end(member, "done" if how == "done" else "broken")

    def _stop(self, document: dict):
        task, number = document["task"], document["run"]
        self.closed[task] = max(self.closed.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number <= number:
            self._save(run, True)
            self.end(run, "stopped")
        self.fleet.record.write("stop", task, "run", number, "on", self.name)
        return self._answer({})

    async def _hold(self, document: dict):
        self._extend(document)
        last = document["lastSeen"]
        for number, task, run, how, _ in self.finished:
            if number <= last and how == "done":
                self.fleet.confirmed.setdefault((task, run), self.fleet.record.now())
        self.finished = [row for row in self.finished if row[0] > last]
        if not self.finished and document.get("waitMs"):
            born = self.born
            try:
                await asyncio.wait_for(self.ended.wait(), document["waitMs"] / 1000)
            except asyncio.TimeoutError:
                pass
            if born != self.born or not self.reachable:
                raise Drop
        running = []
        for run in self.runs.values():
            self._save(run)
            measure = run.spec.get("tail", 0) if run.spec.get("lasts") else run.cpu
            running.append([run.task, run.number, run.saved, run.percent(), measure])
            self.reported[run.task] = run.saved
        return self._answer({"running": running, "finished": self.finished[:500]})

    def _save(self, run: Run, now: bool = False) -> None:
        if not run.spec.get("saves") or run.began is None:
            return
        step = self.fleet.checkpoint_s
        work = run.work if now else int(run.work / step) * step
        if work > run.before:
            run.saved = f"{int(work * 1000):08x}{run.task[4:12]}"

    def end(self, run: Run, how: str) -> None:
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        self._save(run)
        self.closed[run.task] = max(self.closed.get(run.task, 0), run.number)
        self.finished.append([next(self.numbers), run.task, run.number, how, run.saved])
        self.fleet.ends.append((self.fleet.record.now(), run.task, run.number, self.name, how))
        self.fleet.record.write("end", run.task, "run", run.number, "on", self.name, how, run.saved)
        self.ended.set()
        self.ended = asyncio.Event()
        self._leave_gang(run, how)

    def end_due(self) -> None:
        if not self.up:
            return
        now, lapsed = time.monotonic(), self.clock > self.lease_end
        for run in list(self.runs.values()):
            if self.runs.get(run.task) is not run:
                continue
            if lapsed:
                self.end(run, "lapsed")
            elif run.spec.get("gang") and run.began is None:
                if now > run.arrived + self.fleet.gang_timeout:
                    self.end(run, "alone")
            elif not run.spec.get("lasts") and run.work >= run.spec.get("seconds", 0.3):
                self.end(run, "failed" if run.spec.get("fails") else "done")


class Cloud:
    """The service that owns the machines, and the one that gives advice."""

    def __init__(self, fleet: Fleet, pools: list[str], upkeep_s: float = 2.0) -> None:
        self.fleet, self.pools, self.upkeep_s = fleet, pools, upkeep_s
        self.state: dict[str, str] = {}
        self.fences: dict[str, int] = {}
        self.done: set[tuple[str, int]] = set()
        self.down_for: dict[str, int] = {}
        self.orders: list[tuple] = []
        self.decide_s, self.each_s = 0.02, 0.002
        self.advice_calls = 0
        self.advice_lock = asyncio.Lock()
        self.http = HttpServer(self.handle)

    async def handle(self, method, target, headers, body):
        path = urlsplit(target).path
        by_machine = {item.machine: item for item in self.fleet.executors.values()}
        if path == "/machines":
            rows = [
                {
                    "machine": name, "pool": item.service, "zone": item.zone,
                    "state": self.state.get(name, "up" if item.up else "down"),
                    "labels": [item.kind, item.rack], "id": item.name if item.up else None,
                    "capacity": {"cpu": item.cpu, "memMb": 64_000, "gpu": 0},
                }
                for name, item in by_machine.items()
            ]
            return 200, {"machines": rows, "nextToken": None}
        document = json.loads(body)
        if path == "/advise":
            async with self.advice_lock:
                await asyncio.sleep(self.decide_s + self.each_s * len(document["workers"]))
            self.advice_calls += 1
            return 200, {"good": [[name, f"t-{name}"] for name in document["workers"]]}
        name, fence = document["machine"], int(headers.get("x-fence-token", 0))
        if name not in by_machine:
            return 400, {}
        if fence < self.fences.get(name, 0):
            return 409, {"reason": "fence"}
        self.fences[name] = fence
        record, executor = self.fleet.record, by_machine[name]
        record.write("order", path, document, headers.get("x-duty-holder"), "fence", fence)
        self.orders.append((record.now(), path, document, fence))
        if path == "/machine-move":
            return 409, {"reason": "busy"}
        wave = document["wave"]
        if (name, wave) in self.done:
            return 200, {}
        if name not in self.fleet.store.read(f"op/wave/{wave}")["machines"]:
            return 409, {"reason": "wave"}
        if self.state.get(name, "up") != "up" or not executor.up:
            return 409, {"reason": "busy"}
        self.done.add((name, wave))
        self.state[name], self.down_for[name] = "upkeep", wave
        record.write("upkeep begins", name, "wave", wave)
        asyncio.ensure_future(self._upkeep(name, executor))
        return 200, {}

    async def _upkeep(self, name: str, executor: Executor) -> None:
        await executor.crash(self.upkeep_s)
        self.state.pop(name, None)
        self.down_for.pop(name, None)
        self.fleet.record.write("upkeep ends", name)


async def call(address: str, method: str, path: str, body=None, timeout=3.0, key="key-1"):
    """Make one call as a consumer; return the status and the document, (0, None) for no answer."""
    host, port = address.split(":")
    try:
        return await asyncio.wait_for(_call(host, int(port), method, path, body, timeout, key), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, None


async def _call(host, port, method, path, body, timeout, key):
    reader, writer = await asyncio.open_connection(host, port)
    try:
        data = b"" if body is None else json.dumps(body).encode()
        head = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Content-Length: {len(data)}"]
        head += [f"X-Deadline-Ms: {int(timeout * 1000)}", "Content-Type: application/json"]
        head += [f"X-Key: {key}"] if key else []
        writer.write("\r\n".join([*head, "", ""]).encode() + data)
        answer = await reader.readuntil(b"\r\n\r\n")
        lines = answer.decode("latin-1").split("\r\n")
        headers = {n.strip().lower(): v.strip() for n, _, v in (x.partition(":") for x in lines[1:])}
        content = await reader.readexactly(int(headers.get("content-length", 0)))
        status = int(lines[0].split(" ")[1])
        return status, json.loads(content) if content else None
    finally:
        writer.transport.abort()


class Entries:
    """The system's programs, started with the command of the deploy file."""

    def __init__(self, record: Record, store: str, machines: str, folder: Path, **bounds) -> None:
        self.record, self.folder = record, folder
        self.store, self.machines = store, machines
        self.bounds = {
            "lease_most_ms": 6000, "kill_grace_ms": 400, "revoke_ms": 5000, "strict_revoke": True,
            "state_kept_s": 120, "duty_lease_ms": 3000, "grace_s": 6, "drain_ms": 2000,
            "remote_factor": 1.5, **bounds,
        }
        self.max_fds = 4100
        self.processes: dict[str, subprocess.Popen] = {}
        self.front: dict[str, str] = {}
        self.ready: dict[str, str] = {}
        self.log: dict[str, Path] = {}

    def start(self, name: str, store: str = "") -> None:
        if name not in self.front:
            self.front[name] = f"127.0.0.1:{free_port()}"
            self.ready[name] = f"127.0.0.1:{free_port()}"
            self.log[name] = self.folder / f"{name}.log"
        settings = {
            "instance": name, "zone": "a", "zones": ["a", "b", "c"], "caller": self.front[name],
            "ready": self.ready[name], "metrics": f"127.0.0.1:{free_port()}",
            "store": store or self.store, "machines": self.machines, "advice": self.machines,
            "shortest_lease_ms": 1000, "value_bytes": 1_048_576, "bounds": self.bounds,
            "capacity": {"processor_share": 0.537, "processor_speed": 2, "link_mbit": 1000.0},
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        environment = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        environment |= {"VANILLAWELL_SETTINGS": str(path), "PYTHONPATH": str(ROOT / "target/deps")}
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with self.log[name].open("ab") as log:
            self.processes[name] = subprocess.Popen(
                ["python3", "-m", "vanillawell.platform"], cwd=ROOT, env=environment,
                stdout=log, stderr=log, stdin=subprocess.DEVNULL, preexec_fn=self._limit,
            )
        self.record.write("process starts", name)

    def _limit(self) -> None:
        """Give the process the descriptors of its machine (`maxFds` on the sheets), no more."""
        hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        most = self.max_fds if hard == resource.RLIM_INFINITY else min(self.max_fds, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))

    @staticmethod
    def hard_limit() -> float:
        hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
        return float("inf") if hard == resource.RLIM_INFINITY else hard

    def descriptors(self, name: str) -> int:
        return len(os.listdir(f"/proc/{self.processes[name].pid}/fd"))

    def send(self, name: str, number: int) -> None:
        self.record.write("signal", signal.Signals(number).name, "to", name)
        self.processes[name].send_signal(number)

    async def wait_ready(self, names, seconds: float = 20.0) -> bool:
        until = time.monotonic() + seconds
        left = set(names)
        while left and time.monotonic() < until:
            for name in list(left):
                status, _ = await call(self.ready[name], "GET", "/ready", timeout=1.0)
                if status == 200:
                    left.discard(name)
            await asyncio.sleep(0.1)
        return not left

    def owner(self, store: Store) -> str | None:
        for key, item in store.items.items():
            if key.startswith("vanillawell/holder/") and item["lease"] and "/bid" not in key:
                value = base64.b64decode(item["value"]).decode()
                for name in self.processes:
                    if name + "/" in value:
                        return name
        return None

    def end_all(self) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()


def config(version: int, services: list[str], **changes) -> dict:
    routes = [
        {
            "name": f"q-{name}", "host": HOST, "prefix": f"/{name}/", "kind": "non_idempotent",
            "timeoutMs": 3000, "targetLatencyMs": 600, "priority": 1, "service": name,
            "attempts": 3, "slackFactor": 1.6, "allowAnon": False,
        }
        for name in services
    ]
    document = {
        "version": version, "routes": routes,
        "services": [{"name": name, "rejectsOverload": False} for name in services],
        "tenants": [
            {"name": "t-1", "apiKeys": ["key-1"], "weight": 100},
            {"name": "t-2", "apiKeys": ["key-2"], "weight": 100},
        ],
        "limits": {"maxBodyBytes": 262_144},
    }
    return {**document, **changes}


async def _play(play, record: Record, scratch: Path) -> None:
    """Play within the time of a script; SIGTERM ends the play, and so all processes of it."""
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    await asyncio.wait_for(play(record, scratch), 116)


def run_case(folder: str, play) -> None:
    """Play a case: `play(record, folder)` raises `CannotRun` or returns; exit as the review asks."""
    where = Path(folder).resolve()
    raise_own_limit()
    record = Record(where)
    scratch = Path(tempfile.mkdtemp(prefix="review-3-"))
    code = 2
    try:
        asyncio.run(_play(play, record, scratch))
        code = 1 if record.broken else 0
    except CannotRun as error:
        record.write("cannot run:", error)
        print("cannot run:", error)
    except asyncio.TimeoutError:
        record.write("cannot run: out of time")
    except (asyncio.CancelledError, KeyboardInterrupt):
        record.write("cannot run: told to stop")
    except Exception as error:  # an error of the script says nothing of the rule
        record.write("cannot run:", repr(error))
        traceback.print_exc()
    finally:
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(scratch, keep, dirs_exist_ok=True)
        shutil.rmtree(scratch, ignore_errors=True)
    for line in record.broken[:5]:
        print("BROKEN", line)
    verdict = {0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code]
    record.write("verdict:", verdict)
    print(verdict)
    sys.exit(code)


class CannotRun(Exception):
    """The case can't say anything."""


def raise_own_limit() -> None:
    """The stand-ins hold the other ends of all channels."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    most = 16_384 if hard == resource.RLIM_INFINITY else min(16_384, hard)
    if soft < most:
        resource.setrlimit(resource.RLIMIT_NOFILE, (most, hard))


TROUBLE = os.environ.get("TROUBLE", "1") != "0"
