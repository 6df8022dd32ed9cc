"""Machines with one executor each, served on loopback ports, and their faults."""

from __future__ import annotations

import itertools
import random
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import anyio
import orjson

from vanillawell.standins.processes import free_port
from vanillawell.standins.scheduler.machines import StandInMachine, StandInMachines
from vanillawell.standins.soak.executor import SoakExecutor
from vanillawell.standins.soak.record import Life
from vanillawell.transport.asgi import bind, read_body, send_bytes, send_json, server

if TYPE_CHECKING:
    from vanillawell.standins.scheduler.store import StandInStore
    from vanillawell.standins.soak.record import Record
    from vanillawell.transport.asgi import EmbeddedServer, Receive, Scope, Send

MAX_BODY_BYTES = 300_000
"""Bytes of a request body that are read at most."""

CHECK_INTERVAL = 0.01
"""Seconds between two checks for runs that are due to end."""

HEARTBEAT_INTERVAL = 1.5
"""Seconds between two heartbeats of an executor."""

ENTRY_EXPIRY = 3 * HEARTBEAT_INTERVAL
"""Seconds of silence after which the registry removes an executor's entry."""

MOVE_SECONDS = 1.5
UPKEEP_SECONDS = 2.0

STANDBY = "standby"
"""Pool whose machines are off."""

CPU = 16_000
"""Millicores of an executor."""

MEMORY = 32_768
"""Megabytes of an executor."""

EXECUTORS_PER_RACK = 20

FOREIGN_CHANGES: tuple[dict[str, Any], ...] = (
    {"state": "parked"},
    {"service": "no-such-pool"},
    {"address": 7},
    {"born": "today"},
    {"capacity": None},
    {"address": "127.0.0.1:\u00b2"},
    {"address": "127.0.0.1:65536"},
    {"address": "\ufffd:80"},
    {"address": "127.0.0.1:80\r\nX-Other: 1:80"},
    {"born": 2**64 - 1},
    {"capacity": {"cpu": 2**64 - 1, "memMb": 2**64 - 1, "gpu": 2**64 - 1}},
    {"coldRemainingMs": 1e308},
)
"""What makes an entry one of another writer."""

DELIVERY_TIME = 0.4
"""Seconds for which a call to a machine that is down is on its way, until the caller gives up."""

LATE_DELAYS = (0.3, 3.0)
"""Seconds after which an executor carries out an order that it left unanswered."""

LATE_SHARE = 0.5
"""Share of the start orders to an executor that carries out orders late."""


@dataclass(slots=True)
class Host:
    """A machine, its address, and the executor that runs on it, if any."""

    machine: StandInMachine
    port: int
    zone: str
    rack: str
    executor: SoakExecutor | None = None
    reachable: bool = True
    carries_out_late: bool = False
    """Whether some start orders stay unanswered and are carried out late."""

    silent_since: float = 0.0
    """When the last heartbeat was sent."""

    def registration(self) -> dict[str, Any]:
        """Return the executor's entry in the registry."""
        assert self.executor is not None
        life = self.executor.life
        return {
            "service": self.machine.pool,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "machine": self.machine.name,
            "born": life.born,
            "capacity": {"cpu": life.cpu, "memMb": life.memory, "gpu": 0},
            "labels": ["a", self.rack],
            "seq": 1,
        }


@dataclass(slots=True)
class Hosts:
    """All machines; an ASGI application that serves the executors on them."""

    store: StandInStore
    machines: StandInMachines
    record: Record
    chance: random.Random
    tasks: Any
    hosts: list[Host] = field(default_factory=list)
    longest_gap: float = 0.0
    """Longest time in seconds between two checks for due runs: how late the stand-ins were."""

    _by_port: dict[int, Host] = field(default_factory=dict)
    _ids: Any = field(default_factory=lambda: itertools.count(1))
    _server: EmbeddedServer | None = None

    def add(self, pool: str, zone: str, number: int, in_use: bool) -> None:
        """Add a machine; one that is `in_use` runs an executor."""
        machine = StandInMachine(f"m-{number}", pool, "")
        host = Host(machine, free_port(), zone, f"{zone}-r{number // EXECUTORS_PER_RACK}")
        self.machines.machines[machine.name] = machine
        self.hosts.append(host)
        self._by_port[host.port] = host
        if in_use:
            self.begin(host)

    async def serve(self) -> None:
        """Serve all executors, send their heartbeats and end their runs."""
        self.machines.on_move = self._move
        self.machines.on_upkeep = self._upkeep
        self._server = server(self, stop_timeout=0)
        sockets = [bind("127.0.0.1", host.port, "executor") for host in self.hosts]
        self.tasks.start_soon(self._server.serve, sockets)
        self.tasks.start_soon(self._send_heartbeats)
        checked_at = time.monotonic()
        while True:
            now = time.monotonic()
            self.longest_gap, checked_at = max(self.longest_gap, now - checked_at), now
            for host in self.hosts:
                if host.executor:
                    host.executor.end_due_runs(now)
            await anyio.sleep(CHECK_INTERVAL)

    def begin(self, host: Host, keep_id: bool = False) -> None:
        """Begin a life of an executor on the host, and register it."""
        name = host.machine.executor if keep_id else f"i-{next(self._ids):04x}"
        life = Life(name, int(time.time() * 1000), CPU, MEMORY)
        host.executor = SoakExecutor(life, self.record, time.monotonic())
        host.machine.executor = name
        host.machine.state = "up"
        host.reachable = True
        self._register(host)

    def end(self, host: Host, state: str) -> None:
        """End the executor's life; its machine stays away in the given state."""
        if host.executor:
            host.executor.die(time.monotonic())
        host.executor = None
        host.reachable = False
        host.machine.state = state

    async def restart(self, host: Host, seconds: float) -> None:
        """Let a machine go down with its executor, which starts again under its id."""
        if host.machine.state != "up" or host.executor is None:
            return
        self.end(host, "down")
        former = self._connections(host)
        await anyio.sleep(seconds)
        self.begin(host, keep_id=True)
        _reset(former)

    async def crash(self, host: Host, seconds: float) -> None:
        """End an executor without notice; its machine is listed as up, and it starts again."""
        if host.machine.state != "up" or host.executor is None:
            return
        self.end(host, "up")
        _reset(self._connections(host))
        await anyio.sleep(seconds)
        if host.machine.state == "up" and not host.reachable:
            self.begin(host, keep_id=True)

    async def write_foreign_entry(self, host: Host, seconds: float) -> None:
        """Write an entry that names the machine of an executor, but no executor to use."""
        if host.executor is None:
            return
        changes = self.chance.choice(FOREIGN_CHANGES)
        key = f"servers/foreign-{host.machine.executor}"
        self.store.put_document(key, host.registration() | changes)
        await anyio.sleep(seconds)
        self.store.delete(key)

    async def cut(self, host: Host, seconds: float) -> None:
        """Cut an executor off while it runs on."""
        host.reachable = False
        await anyio.sleep(seconds)
        if host.executor:
            host.reachable = True

    async def replace(self, host: Host, seconds: float) -> None:
        """End an executor for good; another one starts at its address some seconds later."""
        if host.machine.state != "up" or host.executor is None:
            return
        self._unregister(host)
        self.end(host, "down")
        _reset(self._connections(host))
        await anyio.sleep(seconds)
        self.begin(host)

    async def be_late(self, host: Host, seconds: float) -> None:
        """Leave some start orders unanswered, and carry them out late."""
        host.carries_out_late = True
        await anyio.sleep(seconds)
        host.carries_out_late = False

    async def _move(self, machine: StandInMachine) -> None:
        host = self._host(machine)
        if host.executor:
            self._unregister(host)
        self.end(host, "moving")
        _reset(self._connections(host))
        await anyio.sleep(MOVE_SECONDS)
        if machine.pool == STANDBY:
            machine.state, machine.executor = "up", ""
        else:
            self.begin(host)

    async def _upkeep(self, machine: StandInMachine) -> None:
        host = self._host(machine)
        if machine.state == "upkeep":
            self._unregister(host)
            self.end(host, "upkeep")
            _reset(self._connections(host))
        else:
            self.begin(host)

    def _host(self, machine: StandInMachine) -> Host:
        return next(host for host in self.hosts if host.machine is machine)

    def _register(self, host: Host) -> None:
        host.silent_since = time.monotonic()
        document = host.registration()
        self.store.put_document(f"servers/{host.machine.executor}", document)

    def _unregister(self, host: Host) -> None:
        self.store.delete(f"servers/{host.machine.executor}")

    async def _send_heartbeats(self) -> None:
        """Keep the entries of reachable executors; remove those of silent ones."""
        while True:
            await anyio.sleep(HEARTBEAT_INTERVAL)
            now = time.monotonic()
            for host in self.hosts:
                key = f"servers/{host.machine.executor}"
                if host.executor and host.reachable:
                    if key not in self.store.items:
                        self._register(host)
                    host.silent_since = now
                elif key in self.store.items and now - host.silent_since > ENTRY_EXPIRY:
                    self._unregister(host)

    def _connections(self, host: Host) -> list[Any]:
        connections = self._server.server_state.connections if self._server else ()
        return [item for item in connections if _port(item) == host.port]

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one call to an executor."""
        received_at = time.monotonic()
        host = self._by_port[scope["server"][1]]
        body = await read_body(receive, MAX_BODY_BYTES)
        is_late = scope["path"] == "/run-start" and await self._delays_order(host)
        executor = await self._reached(host, received_at)
        is_late = is_late or executor.began_at > received_at
        executor.end_due_runs(time.monotonic())
        expected = dict(scope["headers"]).get(b"x-expect-instance", b"").decode()
        if expected and expected != executor.life.executor:
            await send_bytes(send, 421, b"{}")
            return
        document = orjson.loads(body)
        answer = await self._carry_out(scope["path"], executor, document, received_at, is_late)
        if is_late or await self._reached(host, received_at) is not executor:
            await anyio.sleep_forever()
        facts = {"clockMs": executor.clock_ms(time.monotonic()), "born": executor.life.born}
        await send_json(send, {**answer, **facts}, 409 if "reason" in answer else 200)

    async def _delays_order(self, host: Host) -> bool:
        """Wait if an order is to be carried out late; return whether it is, if by the same life."""
        executor = host.executor
        is_cut = executor is not None and not host.reachable
        if not (is_cut or host.carries_out_late) or self.chance.random() > LATE_SHARE:
            return False
        await anyio.sleep(self.chance.uniform(*LATE_DELAYS))
        while host.executor is executor and not host.reachable:
            await anyio.sleep(CHECK_INTERVAL)
        if host.executor is not executor:
            await anyio.sleep_forever()
        return True

    async def _reached(self, host: Host, received_at: float) -> SoakExecutor:
        """Return the executor that a call reaches: the next life if it begins soon enough.

        A host that is cut off or down for longer never answers.
        """
        while time.monotonic() < received_at + DELIVERY_TIME and host.executor is None:
            await anyio.sleep(CHECK_INTERVAL)
        if not host.reachable or host.executor is None:
            await anyio.sleep_forever()
        assert host.executor is not None
        return host.executor

    async def _carry_out(
        self,
        order: str,
        executor: SoakExecutor,
        document: dict[str, Any],
        received_at: float,
        is_late: bool,
    ) -> dict[str, Any]:
        now = time.monotonic()
        if not executor.accepts_fence(document["fence"]):
            return {"reason": "fence"}
        if order == "/run-start":
            reason = executor.start(document, received_at, now, is_late)
            return {"reason": reason} if reason else {}
        if order == "/run-stop":
            executor.stop(document["task"], document["run"], now)
        if order != "/hold":
            return {}
        if "deadlineMs" in document:
            executor.extend_lease(document["deadlineMs"], now)
        executor.confirm_ends(document["lastSeen"], now)
        if not executor.has_ends:
            with anyio.move_on_after(document.get("waitMs", 0) / 1000):
                await executor.run_ended.wait()
        return executor.report(time.monotonic())


def _port(connection: Any) -> int | None:
    """Return the local port of a server's connection; None before it is set up."""
    return connection.server[1] if connection.server else None


def _reset(connections: list[Any]) -> None:
    for connection in connections:
        connection.transport.abort()
