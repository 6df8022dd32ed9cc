"""Play one seed: start the processes, inject the faults of its plan, and check the record."""

from __future__ import annotations

import random
import signal
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import anyio

from vanillawell.platform.http import HttpClient
from vanillawell.protocol.call_errors import NoAnswerError, NotSentError
from vanillawell.standins.processes import free_port
from vanillawell.standins.scheduler.machines import StandInMachines
from vanillawell.standins.scheduler.store import StandInStore
from vanillawell.standins.soak.callers import HOST, KEY, PRESSING_KEY, Callers, job_kinds
from vanillawell.standins.soak.checks import find_violations
from vanillawell.standins.soak.entries import Entry, Place
from vanillawell.standins.soak.hosts import STANDBY, UPKEEP_SECONDS, Hosts
from vanillawell.standins.soak.job_checks import find_job_violations, first_starts
from vanillawell.standins.soak.plan import FaultKind, build_plan
from vanillawell.standins.soak.record import Record
from vanillawell.standins.soak.wave_checks import find_wave_violations
from vanillawell.standins.soak.waves import Waves
from vanillawell.transport.asgi import bind, server

if TYPE_CHECKING:
    from pathlib import Path

    from anyio.abc import TaskGroup

    from vanillawell.standins.soak.checks import Violation
    from vanillawell.standins.soak.hosts import Host
    from vanillawell.standins.soak.job_checks import JobViolation
    from vanillawell.standins.soak.plan import Fault
    from vanillawell.standins.soak.wave_checks import WaveViolation

POOLS = ("pool-a", "pool-b", "pool-c", "pool-d")
ZONES = "abc"

LATE_ORDER_SECONDS = 2.6
"""Seconds until a late order for a machine is carried out; its answer is no longer awaited."""

STORE_DELAY = 0.004
"""Seconds that the store takes to answer."""

STORE_SLOW_DELAY = 0.3
"""Seconds that a slow store takes to answer."""

ANSWERS_LOST = 5
"""Answers to writes that the store loses in one fault."""

READY_TIMEOUT = 60.0
"""Seconds within which all entries take callers."""

ENDING_TIME = 30.0
"""Seconds from the end of the load within which all accepted jobs have to end: twice the time that
the users' installations allow for a recovery."""


@dataclass(frozen=True, slots=True)
class PlayOptions:
    """Shape of a play."""

    seed: int
    seconds: float
    entries: int
    executors: int
    load: float
    """Share of the executors' capacity that the callers ask for on average."""

    checkout: Path
    dependencies: Path
    folder: Path
    presses: bool = False
    """Whether another organisation hands in thousands of tasks at once now and then."""


@dataclass(slots=True)
class Outcome:
    """What a play found."""

    runs: int
    faults: Counter[str]
    calls: Counter[str]
    violations: list[Violation | JobViolation | WaveViolation]
    longest_gap: float
    """Longest time in seconds for which the stand-ins were late."""

    first_starts: dict[str, float]
    """Seconds until the first task of a job began, by kind of job, in 95 of 100 cases."""

    ended_entries: list[str]
    """Entries that ended by themselves."""

    def count_violations(self) -> Counter[str]:
        """Return the violations by rule, those with late orders apart."""
        return Counter(
            f"{item.rule}, late orders" if item.late else item.rule for item in self.violations
        )


@dataclass(slots=True)
class Play:
    """One play."""

    options: PlayOptions
    tasks: TaskGroup
    store: StandInStore = field(default_factory=StandInStore)
    machines: StandInMachines = field(
        default_factory=lambda: StandInMachines(refuse_busy=True, upkeep_seconds=UPKEEP_SECONDS)
    )
    record: Record = field(default_factory=Record)
    entries: list[Entry] = field(default_factory=list)
    faults: Counter[str] = field(default_factory=Counter)
    _waves: Waves = field(init=False)

    def __post_init__(self) -> None:
        """Request waves of the machines from the store."""
        self._waves = Waves(self.store, self.machines)

    async def run(self) -> Outcome:
        """Play the whole seed."""
        options = self.options
        chance = random.Random(options.seed)
        hosts = Hosts(self.store, self.machines, self.record, chance, self.tasks)
        self._set_up(hosts)
        for entry in self.entries:
            entry.start()
        await self._wait_until_ready()
        cores = options.load * 16 * options.executors
        callers = Callers(self.entries, POOLS, job_kinds(options.executors), cores, chance)
        followed = anyio.Event()
        self.tasks.start_soon(_run_callers, callers, followed)
        began_at = time.monotonic()
        plan = build_plan(options.seed, options.seconds, options.executors, options.presses)
        for fault in plan:
            await anyio.sleep(max(0.0, began_at + fault.at - time.monotonic()))
            if fault.kind is FaultKind.PRESS:
                self.faults[fault.kind.value] += 1
                callers.press(len(fault.targets))
            else:
                self.tasks.start_soon(self._inject, fault, hosts)
        await anyio.sleep(max(0.0, began_at + options.seconds - time.monotonic()))
        callers.stopping = True
        with anyio.move_on_after(ENDING_TIME):
            await followed.wait()
        runs = self.record.runs
        return Outcome(
            len(runs),
            self.faults,
            callers.outcomes,
            [
                *find_violations(runs),
                *find_job_violations(callers.jobs, runs),
                *find_wave_violations(self._waves.records()),
            ],
            hosts.longest_gap,
            first_starts(callers.jobs, runs),
            [entry.name for entry in self.entries if not entry.running],
        )

    def _set_up(self, hosts: Hosts) -> None:
        options = self.options
        self.store.faults.delay = STORE_DELAY
        self.machines.set_task_group(self.tasks)
        self.store.put_document("op/config", _configuration())
        pools = (*POOLS, STANDBY)
        for number in range(options.executors):
            pool = pools[number % len(pools)]
            hosts.add(pool, ZONES[number // len(pools) % 3], number, in_use=pool != STANDBY)
        self.tasks.start_soon(hosts.serve)
        self.tasks.start_soon(self.store.tick)
        place = Place(
            options.checkout,
            options.dependencies,
            options.folder,
            self._listen(self.store),
            self._listen(self.machines),
        )
        self.entries = [
            Entry(f"entry-{number}", ZONES[number % 3], place) for number in range(options.entries)
        ]

    def _listen(self, app: Any) -> str:
        port = free_port()
        self.tasks.start_soon(server(app, stop_timeout=0).serve, [bind("127.0.0.1", port, "soak")])
        return f"127.0.0.1:{port}"

    async def _wait_until_ready(self) -> None:
        http = HttpClient()
        with anyio.fail_after(READY_TIMEOUT):
            for entry in self.entries:
                while not await _is_ready(http, entry):
                    await anyio.sleep(0.1)
            while self._owner() is None:
                await anyio.sleep(0.1)
        await http.close()

    def _owner(self) -> Entry | None:
        """Return the entry that holds the shard by the store, if any."""
        for key in [key for key in self.store.items if "/holder/" in key]:
            if self.store.items[key].lease and not key.endswith("/bid"):
                name = self.store.read_document(key)["name"].partition("/")[0]
                return next((entry for entry in self.entries if entry.name == name), None)
        return None

    async def _inject(self, fault: Fault, hosts: Hosts) -> None:
        entry = self._owner() if fault.kind in OWNER_FAULTS else None
        entry = entry or self.entries[fault.targets[0] % len(self.entries)]
        picked = [hosts.hosts[number % len(hosts.hosts)] for number in fault.targets]
        names = entry.name if fault.kind in ENTRY_FAULTS else [h.machine.executor for h in picked]
        self.record.faults.append(
            f"{time.time():.3f} {time.monotonic():.3f} {fault.kind} {fault.seconds:.3f} s {names}"
        )
        self.faults[fault.kind.value] += 1
        if fault.kind in ENTRY_FAULTS:
            await self._disturb_entry(fault, entry)
        elif fault.kind is FaultKind.WAVE:
            self._waves.request([host.machine.name for host in picked], fault.seconds)
        elif fault.kind is FaultKind.MACHINES_UNLISTED:
            await self._leave_out(picked, fault.seconds)
        elif fault.kind is FaultKind.MACHINE_ORDERS_LATE:
            await self._delay_machine_orders(fault.seconds)
        elif fault.kind in STORE_FAULTS:
            await self._disturb_store(fault)
        else:
            disturb = {
                FaultKind.EXECUTORS_RESTARTED: hosts.restart,
                FaultKind.EXECUTORS_CRASHED: hosts.crash,
                FaultKind.FOREIGN_ENTRIES: hosts.write_foreign_entry,
                FaultKind.EXECUTORS_CUT: hosts.cut,
                FaultKind.EXECUTORS_LATE: hosts.be_late,
                FaultKind.EXECUTORS_REPLACED: hosts.replace,
            }[fault.kind]
            for host in picked:
                self.tasks.start_soon(disturb, host, fault.seconds)

    async def _disturb_entry(self, fault: Fault, entry: Entry) -> None:
        entry.signal(ENTRY_FAULTS[fault.kind])
        await anyio.sleep(fault.seconds)
        if ENTRY_FAULTS[fault.kind] is signal.SIGSTOP:
            entry.signal(signal.SIGCONT)
            return
        while entry.running:
            await anyio.sleep(0.1)
        entry.start()

    async def _disturb_store(self, fault: Fault) -> None:
        faults = self.store.faults
        if fault.kind is FaultKind.STORE_SLOW:
            faults.delay = STORE_SLOW_DELAY
        elif fault.kind is FaultKind.STORE_SILENT:
            faults.down = True
        else:
            faults.lose_answers += ANSWERS_LOST
            faults.lose_renewal_answers += 1
        await anyio.sleep(fault.seconds)
        faults.delay, faults.down = STORE_DELAY, False

    async def _leave_out(self, picked: list[Host], seconds: float) -> None:
        names = {host.machine.name for host in picked}
        self.machines.unlisted |= names
        await anyio.sleep(seconds)
        self.machines.unlisted -= names

    async def _delay_machine_orders(self, seconds: float) -> None:
        self.machines.move_seconds = self.machines.upkeep_answer_seconds = LATE_ORDER_SECONDS
        await anyio.sleep(seconds)
        self.machines.move_seconds = self.machines.upkeep_answer_seconds = 0.0


OWNER_FAULTS = (FaultKind.OWNER_KILLED, FaultKind.OWNER_PAUSED, FaultKind.OWNER_STOPPED)

ENTRY_FAULTS = {
    FaultKind.OWNER_KILLED: signal.SIGKILL,
    FaultKind.OWNER_PAUSED: signal.SIGSTOP,
    FaultKind.OWNER_STOPPED: signal.SIGTERM,
    FaultKind.ENTRY_KILLED: signal.SIGKILL,
    FaultKind.ENTRY_PAUSED: signal.SIGSTOP,
}

STORE_FAULTS = (
    FaultKind.STORE_SLOW,
    FaultKind.STORE_SILENT,
    FaultKind.STORE_LOSES_ANSWERS,
)


def _configuration() -> dict[str, Any]:
    policy = {"attempts": 3, "priority": 0, "slackFactor": 1.6, "targetLatencyMs": 600}
    routes = [
        {"name": f"queue-{pool}", "host": HOST, "prefix": f"/{pool}/", "service": pool, **policy}
        for pool in POOLS
    ]
    services = [
        {"name": pool, "rejectsOverload": False, "standby": pool == STANDBY}
        for pool in (*POOLS, STANDBY)
    ]
    tenants = [
        {"name": "north", "apiKeys": [KEY], "weight": 1000},
        {"name": "south", "apiKeys": [PRESSING_KEY], "weight": 1000},
    ]
    content = {"routes": routes, "services": services, "tenants": tenants}
    return {"version": 1, "limits": {"maxBodyBytes": 262_144}, **content}


async def _run_callers(callers: Callers, followed: anyio.Event) -> None:
    """Run the callers; set the event once all jobs have ended."""
    await callers.run()
    followed.set()


async def _is_ready(http: HttpClient, entry: Entry) -> bool:
    try:
        return (await http.call(entry.ready, "GET", "/ready")).status == 200
    except (NoAnswerError, NotSentError):
        return False


async def play(options: PlayOptions) -> Outcome:
    """Play one seed; end all processes that it started, even if it fails or is interrupted."""
    outcome: Outcome | None = None
    async with anyio.create_task_group() as tasks:
        current = Play(options, tasks)
        tasks.start_soon(_cancel_on_signal, tasks)
        try:
            outcome = await current.run()
        finally:
            for entry in current.entries:
                entry.kill()
            current.record.write(options.folder / "runs.jsonl")
            (options.folder / "faults.txt").write_text("\n".join(current.record.faults) + "\n")
        tasks.cancel_scope.cancel()
    if outcome is None:
        raise KeyboardInterrupt
    return outcome


async def _cancel_on_signal(tasks: TaskGroup) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        async for _ in received:
            tasks.cancel_scope.cancel()
