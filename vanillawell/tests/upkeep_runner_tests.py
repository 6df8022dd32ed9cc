"""Test with a running owner that upkeep orders end no tasks that must keep running."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from vanillawell.standins.scheduler.machines import StandInMachine
from vanillawell.tests.scheduler_cluster import Cluster, until, with_cluster
from vanillawell.tests.scheduler_documents import PREFIX, job, step
from vanillawell.tests.standby_pools import STANDBY, configure_standby, simulate_moves

if TYPE_CHECKING:
    from vanillawell.standins.scheduler.executor import StandInExecutor

SPARE_MACHINES = 8
"""Machines on standby that a wave and a pool need at the same time."""


def _executor_on(built: Cluster, machine: StandInMachine) -> StandInExecutor | None:
    host = built.hosts.get(machine.executor)
    return host.executor if host else None


def _add_spares(built: Cluster) -> list[str]:
    names = [f"spare-{number}" for number in range(SPARE_MACHINES)]
    built.machines.machines.update({name: StandInMachine(name, STANDBY, "") for name in names})
    return names


@with_cluster(executors=2)
async def test_owner_keeps_its_shard_when_a_wave_arrives_while_it_stores_another(
    built: Cluster,
) -> None:
    """Operators request two waves while the store is slow. If the owner failed at a wave that
    arrives while another is being stored, it would drop its shard, and nothing would start until
    another entry has taken it over."""
    simulate_moves(built)
    owner = await built.owner()
    term = owner.node.term
    owner.store.answer_time = 0.3
    first, second = built.machines.machines
    built.request_wave([first], 20)
    await until(lambda: "vanillawell/wave/1" in built.store.items)
    built.request_wave([second], 20, number=2)
    await until(lambda: "vanillawell/wave/2" in built.store.items)
    await anyio.sleep(2 * owner.store.answer_time)
    assert owner.node.term is term


@with_cluster(executors=1)
async def test_machine_that_joined_pool_is_not_taken_down_for_upkeep(built: Cluster) -> None:
    """A wave finds eight machines on standby, and orders take time. A pool whose long-running tasks
    wait for capacity gets the same machines; an order decided earlier would end a task that has
    just started while others of its step are down."""
    interrupted: list[str] = []

    async def record_interrupted(machine: StandInMachine) -> None:
        executor = _executor_on(built, machine)
        if machine.state == "upkeep" and executor is not None and executor.running:
            interrupted.append(machine.name)

    simulate_moves(built)
    built.machines.on_upkeep = record_interrupted
    built.machines.upkeep_answer_seconds = 0.15
    names = _add_spares(built)
    configure_standby(built)
    member = built.members[0]
    built.request_wave(names, 20, most_away=SPARE_MACHINES)
    await until(lambda: any(machine.upkeeps for machine in built.machines.machines.values()))
    long_running = step(SPARE_MACHINES + 1, longRunning=True, maxUnavailable=1, maxPerServer=1)
    await member.call("POST", PREFIX + built.new_id(), job(long_running, spec={"seconds": 60}))
    await anyio.sleep(2.0)
    assert interrupted == []
