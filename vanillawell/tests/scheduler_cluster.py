"""Build a small cluster for tests: stand-ins on loopback ports and schedulers in this process."""

from __future__ import annotations

import functools
import itertools
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import anyio
import orjson

from vanillawell.config.node_settings import NodeSettings
from vanillawell.node import Node
from vanillawell.platform.callers import CallerApp
from vanillawell.platform.http import HttpClient
from vanillawell.platform.process import build_ports
from vanillawell.standins.scheduler.executor import Audit, StandInExecutor
from vanillawell.standins.scheduler.machines import StandInMachine, StandInMachines
from vanillawell.standins.scheduler.store import StandInStore
from vanillawell.tests.executor_hosts import Connections, Crash, Endpoint, Host, listen
from vanillawell.tests.interruptible_store import InterruptibleStore
from vanillawell.tests.scheduler_documents import API_KEY, HOST, POOL, PREFIX, config

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Iterable

    from anyio.abc import TaskGroup


@dataclass(slots=True)
class Reply:
    """Response to a caller."""

    status: int
    document: Any
    headers: dict[str, str]


@dataclass(slots=True)
class Member:
    """One scheduler of the cluster."""

    node: Node
    app: CallerApp
    store: InterruptibleStore
    scope: anyio.CancelScope
    ended: anyio.Event

    @property
    def owns(self) -> bool:
        """Return whether this scheduler owns the shard."""
        return self.node.owns

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        key: str | None = API_KEY,
        wait_ms: int = 2000,
    ) -> Reply:
        """Make one call as a caller."""
        headers = [(b"host", HOST.encode()), (b"x-deadline-ms", str(wait_ms).encode())]
        if key is not None:
            headers.append((b"x-key", key.encode()))
        sent: list[dict[str, Any]] = []

        async def receive() -> dict[str, Any]:
            return {"type": "http.request", "body": body, "more_body": False}

        async def send(message: Any) -> None:
            sent.append(message)

        scope = {"type": "http", "method": method, "path": path, "headers": headers}
        await self.app(scope, receive, send)
        start, content = sent[0], sent[1]["body"]
        pairs = {name.decode(): value.decode() for name, value in start["headers"]}
        return Reply(start["status"], orjson.loads(content) if content else None, pairs)

    async def state(self, job_id: str, prefix: str = PREFIX) -> str:
        """Return the state of a job, or the response status if it is not 200."""
        reply = await self.call("GET", prefix + job_id)
        return reply.document["state"] if reply.status == 200 else f"status {reply.status}"


@dataclass(slots=True)
class Cluster:
    """Stand-ins and schedulers of one test."""

    tasks: TaskGroup
    store: StandInStore
    store_address: str
    machines: StandInMachines
    machines_address: str
    audit: Audit = field(default_factory=Audit)
    hosts: dict[str, Host] = field(default_factory=dict)
    executors: list[StandInExecutor] = field(default_factory=list)
    members: list[Member] = field(default_factory=list)
    _ids: Any = field(default_factory=lambda: itertools.count(1))

    def new_id(self) -> str:
        """Return a new job id."""
        return f"{next(self._ids):016x}"

    async def add_executor(
        self,
        name: str,
        cpu: int = 8_000,
        rack: str = "r1",
        machine: str = "",
        born: int = 1_000,
        zone: str = "a",
    ) -> Host:
        """Start and register an executor, on a machine of its own unless `machine` is given."""
        executor = StandInExecutor(name, self.audit, self.executors, cpu, born)
        self.executors.append(executor)
        host = Host(executor, "", machine or f"machine-of-{name}", rack, zone)
        host.endpoint = Endpoint(host)
        host.address = f"127.0.0.1:{host.endpoint.port}"
        self.tasks.start_soon(host.endpoint.serve)
        self.hosts[name] = host
        self.tasks.start_soon(executor.tick)
        self.register(name)
        self.machines.machines.setdefault(host.machine, StandInMachine(host.machine, POOL, name))
        return host

    def register(self, name: str, **changes: Any) -> None:
        """Write the registration of an executor."""
        host = self.hosts[name]
        document = {
            "service": POOL,
            "address": host.address,
            "zone": host.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "machine": host.machine,
            "born": host.executor.born,
            "capacity": {"cpu": host.executor.cpu, "memMb": 64_000, "gpu": 0},
            "labels": ["kind", host.rack],
            "seq": 1,
        }
        self.store.put_document(f"servers/{name}", {**document, **changes})

    def drain(self, name: str, seconds: float) -> None:
        """Register an executor as draining, to leave after `seconds` at the earliest."""
        self.register(name, state="draining", remainingMs=seconds * 1000)

    def evacuate(self, zone: str) -> None:
        """Request that nothing more starts in a zone, as an operator."""
        self.store.put_document(f"op/evacuate/{zone}", {})

    def take_back(self, zone: str) -> None:
        """End the evacuation of a zone, as an operator."""
        self.store.delete(f"op/evacuate/{zone}")

    def request_wave(
        self, machines: Iterable[str], seconds: float, most_away: int = 1, number: int = 1
    ) -> None:
        """Request the upkeep of machines within `seconds`, as an operator."""
        wave = {
            "wave": number,
            "machines": list(machines),
            "durationS": seconds,
            "maximum": most_away,
        }
        self.store.put_document(f"op/wave/{number}", wave)

    def leave(self, name: str) -> None:
        """Terminate an executor: all its runs end, and it no longer answers."""
        self.hosts[name].executor.leave()
        self.store.delete(f"servers/{name}")

    def restart(self, name: str) -> None:
        """Crash an executor and restart it under the same id."""
        host = self.hosts[name]
        host.executor = host.executor.crash()
        self.tasks.start_soon(host.executor.tick)

    async def crash(self, name: str, crash: Crash) -> None:
        """Crash an executor, as a process does, and start it again under its id."""
        host = self.hosts[name]
        former, endpoint = host.executor, host.endpoint
        assert endpoint is not None
        is_relayed = crash.connections is Connections.RELAYED
        former.leave()
        if not is_relayed:
            endpoint.close(former, crash.connections is Connections.SILENT)
        await anyio.sleep(crash.down_for)
        host.executor = former.crash(crash.cpu)
        self.tasks.start_soon(host.executor.tick)
        if not is_relayed:
            host.endpoint = Endpoint(host, endpoint.port)
            self.tasks.start_soon(host.endpoint.serve)
        await anyio.sleep(crash.registered_after)
        self.register(name)

    def add_member(self, instance: str, capacity: dict[str, float] | None = None) -> Member:
        """Start a scheduler with the given capacity of its machine, for the leases of the store."""
        settings = NodeSettings.model_validate(
            {
                "instance": instance,
                "zone": "a",
                "caller": "127.0.0.1:0",
                "ready": "127.0.0.1:0",
                "metrics": "127.0.0.1:0",
                "store": self.store_address,
                "machines": self.machines_address,
                "advice": self.machines_address,
                "shortest_lease_ms": self.store.shortest_lease_ms,
                "value_bytes": self.store.value_bytes,
                "bounds": {
                    "lease_most_ms": 6000,
                    "kill_grace_ms": 100,
                    "revoke_ms": 5000,
                    "state_kept_s": 120,
                    "duty_lease_ms": 500,
                    "grace_s": 6,
                    "drain_ms": 2000,
                },
                "capacity": capacity or {},
            }
        )
        ports = build_ports(settings, HttpClient())
        cut = InterruptibleStore(ports.store)
        node = Node(settings, type(ports)(cut, *list(_others(ports))))
        scope, ended = anyio.CancelScope(), anyio.Event()
        member = Member(node, CallerApp(node.job_service, node.telemetry), cut, scope, ended)
        self.members.append(member)
        self.tasks.start_soon(_run_member, member)
        return member

    async def kill(self, member: Member) -> None:
        """Kill a scheduler without notice."""
        member.scope.cancel()
        await member.ended.wait()
        self.members.remove(member)

    async def owner(self) -> Member:
        """Wait until a scheduler owns the shard and return it."""
        await until(lambda: any(member.owns for member in self.members), 8)
        return next(member for member in self.members if member.owns)


def _others(ports: Any) -> list[Any]:
    return [ports.executors, ports.machines, ports.advice, ports.documents]


async def _run_member(member: Member) -> None:
    with member.scope:
        await member.node.run()
    member.ended.set()


async def until(holds: Callable[[], bool], seconds: float = 5.0) -> None:
    """Wait until the condition holds; fail after `seconds`."""
    with anyio.fail_after(seconds):
        while not holds():
            await anyio.sleep(0.01)


async def until_state(member: Member, job_id: str, state: str, seconds: float = 5.0) -> None:
    """Wait until a job is in the given state; fail after `seconds`."""
    with anyio.fail_after(seconds):
        while await member.state(job_id) != state:
            await anyio.sleep(0.02)


@asynccontextmanager
async def cluster(members: int = 1, executors: int = 2) -> AsyncIterator[Cluster]:
    """Run a cluster whose schedulers have a configuration and registered executors."""
    async with anyio.create_task_group() as tasks:
        store, machines = StandInStore(), StandInMachines()
        machines.set_task_group(tasks)
        store.put_document("op/config", config())
        built = Cluster(tasks, store, listen(tasks, store), machines, listen(tasks, machines))
        tasks.start_soon(store.tick)
        for number in range(executors):
            await built.add_executor(f"i-{number}", rack=f"r{number % 2}")
        for number in range(members):
            built.add_member(f"entry-{number}")
        await built.owner()
        await until(lambda: all(m.node.job_service.is_ready(_now()) for m in built.members))
        yield built
        tasks.cancel_scope.cancel()


def _now() -> float:
    from vanillawell import clock

    return clock.read()


def with_cluster(members: int = 1, executors: int = 2) -> Callable[..., Callable[[], None]]:
    """Return a decorator that runs an async test on a cluster of its own."""

    def decorate(test: Callable[[Cluster], Any]) -> Callable[[], None]:
        async def run() -> None:
            async with cluster(members, executors) as built:
                await test(built)
            assert built.audit.violations == []

        @functools.wraps(test)
        def plain() -> None:
            anyio.run(run)

        # With `__wrapped__`, pytest would request a fixture named like the test's argument.
        del plain.__wrapped__
        return plain

    return decorate
