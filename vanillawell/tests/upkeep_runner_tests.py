"""Test at the owner's own speed that orders for upkeep end nothing that has to stay at work."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from vanillawell.standins.scheduler.machines import StandInMachine
from vanillawell.tests.scheduler_cluster import PREFIX, Cluster, job, step, until, with_cluster
from vanillawell.tests.standby_pools import STANDBY, configure_standby, obey_moves

if TYPE_CHECKING:
    from vanillawell.standins.scheduler.executor import StandInExecutor

SPARE = 8
"""Machines on standby that a wave and a pool want at the same time."""


def _life_on(built: Cluster, machine: StandInMachine) -> StandInExecutor | None:
    host = built.hosts.get(machine.executor)
    return host.executor if host else None


def _add_spares(built: Cluster) -> list[str]:
    names = [f"spare-{number}" for number in range(SPARE)]
    built.machines.machines.update({name: StandInMachine(name, STANDBY, "") for name in names})
    return names


@with_cluster(executors=1)
async def test_a_machine_that_joined_a_pool_meanwhile_is_not_taken_down(built: Cluster) -> None:
    """A wave finds eight machines on standby, and orders take time. A pool whose lasting tasks wait
    for room gets the same machines; an order decided before would end a task that has just begun,
    while others of its step are away."""
    ended: list[str] = []

    async def begun(machine: StandInMachine) -> None:
        executor = _life_on(built, machine)
        if machine.state == "upkeep" and executor is not None and executor.running:
            ended.append(machine.name)

    obey_moves(built)
    built.machines.on_upkeep = begun
    built.machines.upkeep_answer_seconds = 0.15
    names = _add_spares(built)
    configure_standby(built)
    member = built.members[0]
    wave = {"wave": 1, "machines": names, "durationS": 20, "maximum": SPARE}
    built.store.put_document("op/wave/1", wave)
    await until(lambda: any(machine.upkeeps for machine in built.machines.machines.values()))
    lasting = step(SPARE + 1, longRunning=True, maxUnavailable=1, maxPerServer=1)
    await member.call("POST", PREFIX + built.new_id(), job(lasting, spec={"seconds": 60}))
    await anyio.sleep(2.0)
    assert ended == []
