"""Measure the capacity of each machine pool and the demand of its queues."""

from __future__ import annotations

import logging
import math
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from vanillawell.protocol.machine_calls import MachineState
from vanillawell.state.lost_executors import is_list_credible
from vanillawell.state.placement_pass import HELD_BY_MAXIMUM, HELD_FOR_CAPACITY
from vanillawell.state.pool_sizing import (
    PoolDemand,
    demanded_cores,
    min_long_running_machines,
    optional_cores,
)
from vanillawell.state.trial_placement import count_missing_machines
from vanillawell.state.work import MILLICORES_PER_CORE, NO_RESOURCES, Resources

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping, Sequence

    from vanillawell.protocol.machine_calls import Machine
    from vanillawell.state.executors import Executor
    from vanillawell.state.progress import StepProgress
    from vanillawell.state.shard import Shard
    from vanillawell.state.work_policy import WorkPolicy

log = logging.getLogger(__name__)

REGISTRATION_TIMEOUT = 3.0
"""Seconds after a change of owner in which a machine that is up may count for its pool although no
executor of it is registered yet: two of the intervals at which executors renew their registration.
Otherwise the start of a whole system looks like the loss of all pools and causes ten unnecessary
moves."""

MAX_LOGGED_NAMES = 5
"""Maximum number of machines named in one log line."""


@dataclass(frozen=True, slots=True)
class MachineSnapshot:
    """The machines as seen in one check."""

    executors: Mapping[str, Executor]
    """The registered executors by machine."""

    listed: Mapping[str, Machine]
    """The machines in the latest list, by name."""

    arriving: Mapping[str, str]
    """The target pools of moving machines, by machine."""

    ordered: Collection[str]
    """Machines for which a previous owner gave recent orders."""

    def zone_of(self, machine: str) -> str:
        """Return the availability zone of a machine; empty if unknown."""
        listed = self.listed.get(machine)
        return listed.zone if listed else ""

    def awaiting_registration(self, pool: str) -> list[str]:
        """Return the machines of a pool on which an executor is expected to register.

        These are machines with a recent order of a previous owner, and machines for which the list
        names an executor: its registration expired while the store was unavailable, or it has just
        started. A machine without a listed executor stays empty, regardless of the owner. But a
        list that lacks most of the executors that answer, or that is read before any executor
        answers, excludes no machine.
        """
        up = {
            name: item.executor
            for name, item in self.listed.items()
            if item.state is MachineState.UP
        }
        listed_executors = {name for name in up.values() if name}
        # Executors that have just registered count, too: a list without them is too old for this.
        is_list_reliable = is_list_credible(
            self.executors.values(), listed_executors, requested_at=math.inf
        )
        return [
            name
            for name, executor in up.items()
            if self.listed[name].pool == pool
            and name not in self.executors
            and name not in self.arriving
            and (executor or name in self.ordered or not is_list_reliable)
        ]


class DemandMeter:
    """Measure the capacity and demand of the pools during one term."""

    def __init__(self, shard: Shard, began: float) -> None:
        """Initialise the meter; `began` is the time of `clock.read` at which the term began."""
        self._shard = shard
        self._term_started_at = began
        self._sizes: dict[str, Resources] = {}
        """Capacity of one machine of each pool, as last seen."""

        self._unregistered: dict[str, list[str]] = {}
        """Machines of each pool that were last counted although no executor is registered on
        them."""

    def measure(
        self,
        policy: WorkPolicy,
        standby: str,
        snapshot: MachineSnapshot,
        spare: int,
        now: float,
    ) -> list[PoolDemand]:
        """Return the capacity and demand of each pool except `standby`.

        If the pools want more machines than they and the `spare` ones on standby are, it is also
        determined how much of the demand is optional.

        Executors that are unresponsive or in evacuated zones count for neither: when a zone was
        cut off during a peak, a third of a pool was unusable, and callers waited for capacity that
        the pool only appeared to have.
        """
        steps = self._open_steps()
        members: defaultdict[str, list[Executor]] = defaultdict(list)
        for executor in snapshot.executors.values():
            members[executor.facts.service].append(executor)
        self._record_sizes(snapshot.executors)
        used = {queue.service for queue in policy.queues.values()} | steps.keys()
        names = [name for name in policy.services if name != standby and name in used]
        pools = [
            self._measure_pool(
                pool,
                members[pool],
                steps[pool],
                self._count_arriving(pool, snapshot, now),
                now,
            )
            for pool in names
        ]
        if sum(pool.wanted for pool in pools) > sum(pool.machines for pool in pools) + spare:
            for pool in pools:
                runs = (run for item in members[pool.service] for run in item.runs.values())
                optional = optional_cores(runs, steps[pool.service], self._shard.durations, now)
                pool.optional_cores = optional
        return pools

    def _open_steps(self) -> defaultdict[str, list[StepProgress]]:
        """Return the steps that may run now, by pool.

        Those whose organisation may have no more running are left out: no machine helps them.
        """
        steps: defaultdict[str, list[StepProgress]] = defaultdict(list)
        for step in self._shard.job_table.open_steps:
            queue = self._shard.queue_of(step.record.job)
            if queue is not None and step.held_by != HELD_BY_MAXIMUM:
                steps[queue.service].append(step)
        return steps

    def _measure_pool(
        self,
        pool: str,
        members: Sequence[Executor],
        steps: Sequence[StepProgress],
        arriving: int,
        now: float,
    ) -> PoolDemand:
        own = [
            item for item in members if now >= item.placement_blocked_until and not item.evacuated
        ]
        usable = [item for item in own if not item.facts.draining and not item.cordoned]
        size = self._size(pool)
        arriving_cores = self._shard.arrivals.required_cores(pool, now)
        wanted = max(demanded_cores(own, steps, self._shard.durations), arriving_cores)
        healthy = [item for item in usable if item.is_healthy(now)]
        emptied = [item for item in own if item.must_drain]
        held_steps = [step for step in steps if step.held_by in HELD_FOR_CAPACITY]
        return PoolDemand(
            pool,
            len(usable) + arriving,
            size.cpu / MILLICORES_PER_CORE,
            wanted,
            arriving_cores=arriving_cores,
            floor=min_long_running_machines(steps),
            shortfall=count_missing_machines(healthy, arriving, size, held_steps, emptied),
        )

    def _size(self, pool: str) -> Resources:
        """Return the capacity of one machine of a pool, or that of another pool if it never had a
        machine."""
        known_size = self._sizes.get(pool)
        return known_size or max(
            self._sizes.values(), key=lambda size: size.cpu, default=NO_RESOURCES
        )

    def _count_arriving(self, pool: str, snapshot: MachineSnapshot, now: float) -> int:
        """Return the number of a pool's machines on which no executor is registered yet.

        Machines of evacuated zones do not count, since they will get no tasks.
        """
        evacuated_zones = self._shard.ledger.evacuated_zones
        count = sum(
            target == pool and snapshot.zone_of(name) not in evacuated_zones
            for name, target in snapshot.arriving.items()
        )
        early = now < self._term_started_at + REGISTRATION_TIMEOUT
        expected = [
            name
            for name in (snapshot.awaiting_registration(pool) if early else ())
            if snapshot.zone_of(name) not in evacuated_zones
        ]
        if expected != self._unregistered.get(pool, []):
            self._unregistered[pool] = expected
            fields = {"pool": pool, "machines": len(expected), "some": expected[:MAX_LOGGED_NAMES]}
            log.info("machines yet to register", extra=fields)
        return count + len(expected)

    def _record_sizes(self, executors: Mapping[str, Executor]) -> None:
        """Remember the machine size of each pool, for the case that it loses all its machines.

        A pool without machines must still have a demand; if its size counted as zero, its queues
        would never be served again.
        """
        for executor in executors.values():
            if executor.facts.capacity.cpu:
                self._sizes[executor.facts.service] = executor.facts.capacity
