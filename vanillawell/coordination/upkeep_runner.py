"""Carry out upkeep waves: drain machines, order their upkeep, and publish the wave's state."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio
import orjson

from vanillawell import clock
from vanillawell.coordination.upkeep_orders import UpkeepOrders
from vanillawell.coordination.wave_age import WaveAge
from vanillawell.exceptions import StoreError
from vanillawell.protocol.call_errors import NoAnswerError, NotSentError
from vanillawell.protocol.checked_values import flag, mapping, texts
from vanillawell.protocol.machine_calls import MachineState
from vanillawell.protocol.store import Put
from vanillawell.state.availability import has_long_running
from vanillawell.state.upkeep import (
    MIN_UPKEEP_DURATION,
    SHORT_TASK_TIMEOUT,
    UNKNOWN_INCARNATION,
    Wave,
    WaveProgress,
    incarnation_id,
    machines_to_close,
    may_begin_upkeep,
    runs_to_move,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from vanillawell.config.node_settings import NodeSettings
    from vanillawell.coordination.leases import ExecutorClocks
    from vanillawell.coordination.machine_orders import MachineOrders
    from vanillawell.coordination.policy_watch import PolicyWatch
    from vanillawell.coordination.ports import Ports
    from vanillawell.coordination.term import Term
    from vanillawell.protocol.machine_calls import Machine
    from vanillawell.protocol.work_keys import WorkKeys
    from vanillawell.state.executors import Executor
    from vanillawell.state.shard import Shard

log = logging.getLogger(__name__)

POLL_INTERVAL = 0.1
"""Seconds between two checks of a wave in progress."""

IDLE_POLL_INTERVAL = 0.5
"""Seconds between two checks for new waves."""

LIST_INTERVAL = 0.5
"""Seconds between two reads of the machine list during a wave; reads are priced."""

STOP_SETTLE_TIME = 1.0
"""Seconds added to the duration of a stop, after a change of owner, during which no long-running
task is interrupted: a stop ordered by the previous owner may still be in progress, and its task
appears to be running until it has ended."""


class UpkeepRunner:
    """Carry out all waves during one term."""

    def __init__(
        self,
        shard: Shard,
        term: Term,
        ports: Ports,
        keys: WorkKeys,
        settings: NodeSettings,
        policies: PolicyWatch,
        orders: MachineOrders,
        wake: Callable[[], None],
        clocks: ExecutorClocks,
    ) -> None:
        self._shard = shard
        self._term = term
        self._ports = ports
        self._keys = keys
        self._settings = settings
        self._policies = policies
        self._orders = orders
        self._wake = wake
        self._clocks = clocks
        self._waves: dict[int, WaveProgress] = {}
        self._ages: dict[int, WaveAge] = {}
        """How long each wave had been known, as last stored."""

        self._machines: dict[str, Machine] = {}
        self._listed_at = 0.0
        self._upkeep_orders = UpkeepOrders(shard, term, ports, orders, self._save, wake)
        self._settled_at = clock.read() + settings.bounds.kill_grace_ms / 1000 + STOP_SETTLE_TIME

    async def run(self) -> None:
        """Carry out waves until cancelled."""
        while True:
            try:
                is_active = await self._orders.load() and await self._advance_waves()
            except (StoreError, NotSentError, NoAnswerError) as error:
                log.warning("upkeep waves postponed", extra={"why": str(error)})
                is_active = False
            await anyio.sleep(POLL_INTERVAL if is_active else IDLE_POLL_INTERVAL)

    def expects(self, now: float) -> bool:
        """Return whether a machine may return from its upkeep at any moment."""
        return any(
            now > progress.ordered.get(name, now) + MIN_UPKEEP_DURATION
            for progress in self._waves.values()
            for name in progress.away
        )

    async def _advance_waves(self) -> bool:
        """Advance each wave by one step; return whether any is in progress."""
        for number, wave in list(self._policies.waves.items()):  # more may arrive meanwhile
            if number not in self._waves:
                self._waves[number] = await self._load_wave(wave)
        active = [item for item in self._waves.values() if not item.completed]
        if not active:
            return False
        await self._refresh_list()
        for progress in active:
            self._count_elapsed_time(progress)
            await self._advance(progress)
            if not self._ages[progress.wave.number].clocks and self._clocks.upper_bound(
                clock.read()
            ):
                await self._save(progress)  # so that a successor can tell how long ago this was
        return True

    def _count_elapsed_time(self, progress: WaveProgress) -> None:
        """Count the time that has certainly passed for a wave under previous owners and between
        them."""
        now, number = clock.read(), progress.wave.number
        first_seen = self._ages[number].estimate_first_seen(self._clocks, now)
        if first_seen >= progress.first_seen:
            return
        progress.first_seen = first_seen
        log.info(
            "wave known for longer", extra={"wave": number, "seconds": round(now - first_seen, 3)}
        )

    async def _load_wave(self, wave: Wave) -> WaveProgress:
        """Load the progress that a wave made under previous owners."""
        stored = await self._ports.store.get(self._keys.wave(wave.number))
        progress = WaveProgress(wave, self._policies.waves_first_seen[wave.number])
        self._ages[wave.number] = WaveAge()
        if stored is None:
            await self._save(progress)
            return progress
        try:
            document = mapping(orjson.loads(stored.value))
            age = WaveAge.from_document(document)
            decided, confirmed = texts(document["decided"]), texts(document["confirmed"])
            progress.completed = flag(document["completed"])
        except (ValueError, KeyError) as error:
            # Start over: an upkeep that was done is not repeated, and its order is answered as if
            # it had been.
            fields = {"wave": wave.number, "why": repr(error)}
            log.error("stored wave progress unreadable", extra=fields)
            progress = WaveProgress(wave, self._policies.waves_first_seen[wave.number])
        else:
            self._ages[wave.number] = age
            progress.decided, progress.confirmed = set(decided), set(confirmed)
        self._listed_at = 0.0
        await self._refresh_list()
        progress.away = {
            name: UNKNOWN_INCARNATION
            for name in wave.machines
            if name in progress.unconfirmed or self._may_be_in_upkeep(name, progress)
        }
        progress.possibly_begun = set(progress.unconfirmed)
        for name in progress.unconfirmed:
            self._upkeep_orders.reserve(name)
        return progress

    def _may_be_in_upkeep(self, name: str, progress: WaveProgress) -> bool:
        """Return whether a machine is in upkeep, or the list leaves it out after it was decided."""
        machine = self._machines.get(name)
        if machine is None:
            return name in progress.decided
        return machine.state is MachineState.UPKEEP

    async def _save(self, progress: WaveProgress) -> None:
        number, now = progress.wave.number, clock.read()
        age = self._ages[number].updated(progress.first_seen, self._clocks, now)
        document = {
            **age.to_document(),
            "decided": sorted(progress.decided),
            "confirmed": sorted(progress.confirmed),
            "completed": progress.completed,
        }
        state = self._ports.documents.write_wave_state(number, progress.completed)
        status_key = f"{self._ports.documents.keys.wave_states}{number}"
        await self._term.write(
            [Put(self._keys.wave(number), orjson.dumps(document)), Put(status_key, state)]
        )
        self._ages[number] = age

    async def _refresh_list(self) -> None:
        now = clock.read()
        if now < self._listed_at + LIST_INTERVAL:
            return
        machines = await self._ports.machines.list_machines()
        self._machines = {item.name: item for item in machines}
        # The time of the request, since the list may be older than its answer.
        self._listed_at = now

    async def _advance(self, progress: WaveProgress) -> None:
        now = clock.read()
        executors = self._shard.ledger.by_machine()
        up = {item.name for item in self._machines.values() if item.state is MachineState.UP}
        incarnations = {name: incarnation_id(item) for name, item in executors.items()}
        progress.release_returned(incarnations, up, self._listed_at)
        for name in progress.doubt_unlisted(self._machines, incarnations, self._listed_at):
            self._upkeep_orders.reserve(name)
        for name in progress.wave.machines:
            if name in executors:
                executors[name].awaits_upkeep = name not in progress.decided
        free = {name: item for name, item in executors.items() if self._may_decide(name, now)}
        for name in machines_to_close(progress, free, now):
            progress.closed[name] = now
            fields = {"wave": progress.wave.number, "machine": name}
            log.info("machine closed", extra={**fields, "runs": len(executors[name].runs)})
        due = [
            *self._drained_machines(progress, executors, now),
            *self._unused_machines(progress, executors, now),
        ]
        free_slots = max(0, progress.wave.most_away - len(progress.away))
        await self._upkeep_orders.begin(progress, due[:free_slots])
        await self._upkeep_orders.repeat_unconfirmed(progress, clock.read())
        await self._complete_if_done(progress)

    def _may_decide(self, machine: str, now: float) -> bool:
        return self._upkeep_orders.may_decide(machine, now)

    def _drained_machines(
        self, progress: WaveProgress, executors: Mapping[str, Executor], now: float
    ) -> list[str]:
        """Move tasks off cordoned machines; return the machines whose upkeep may begin."""
        drained = []
        for name, closed_at in list(progress.closed.items()):
            executor = executors.get(name)
            if executor is None:
                del progress.closed[name]
                continue
            executor.cordoned = True
            if now < self._settled_at and has_long_running(executor):
                continue
            self._move_away(progress, executor, closed_at, now)
            may_begin = may_begin_upkeep(executor, closed_at, progress.past_wait_deadline(now), now)
            if may_begin and self._may_decide(name, now):
                drained.append(name)
        return drained

    def _move_away(
        self, progress: WaveProgress, executor: Executor, closed_at: float, now: float
    ) -> None:
        forced = progress.past_wait_deadline(now) or now > closed_at + SHORT_TASK_TIMEOUT
        runs = runs_to_move(
            executor, lambda run: forced or self._shard.can_place_elsewhere(run, now)
        )
        for run in runs:
            self._shard.request_move(run)
        if runs:
            self._wake()

    def _unused_machines(
        self, progress: WaveProgress, executors: Mapping[str, Executor], now: float
    ) -> list[str]:
        """Return the machines that run no executor and have no pending order, as far as known.

        They are up, or the list leaves them out; the answer to the order tells whether they exist.
        """
        return [
            name
            for name in progress.wave.machines
            if name not in progress.decided
            and name not in executors
            and self._is_unused(name)
            and self._may_decide(name, now)
        ]

    def _is_unused(self, name: str) -> bool:
        machine = self._machines.get(name)
        if machine is None:
            return not self._may_run_tasks(name)
        return machine.state is MachineState.UP and not self._in_use(machine)

    def _in_use(self, machine: Machine) -> bool:
        """Return whether an executor whose registration has expired may still run tasks on a
        machine.

        Registrations expire while executors keep running when the store, or the network path to it,
        was unavailable.
        """
        executor = self._shard.ledger.executors.get(machine.executor or "")
        return executor is not None and bool(executor.runs)

    def _may_run_tasks(self, machine: str) -> bool:
        """Return whether tasks may run on a machine whose executor the list does not name.

        The machine of an executor from previous terms may not be known.
        """
        return any(
            executor.runs and executor.facts.machine in (machine, "")
            for executor in self._shard.ledger.executors.values()
        )

    async def _complete_if_done(self, progress: WaveProgress) -> None:
        """Publish that the wave is completed once each of its machines has had its upkeep.

        A machine that the list leaves out counts as finished only once its order was answered.
        """
        unfinished = [name for name in progress.wave.machines if name not in progress.confirmed]
        if unfinished or progress.closed or progress.away:
            return
        progress.completed = True
        await self._save(progress)
        log.info("wave completed", extra={"wave": progress.wave.number})
