"""Test what an owner concludes about a wave of upkeep from lists of machines."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from vanillawell.standins.scheduler.machines import StandInMachine
from vanillawell.tests.scheduler_cluster import Cluster, until, with_cluster
from vanillawell.tests.standby_pools import STANDBY, configure_standby

if TYPE_CHECKING:
    from collections.abc import Sequence

UPKEEP_SECONDS = 4.0
"""Seconds that an upkeep takes; longer than the time after which a machine may be back."""


def add_spares(built: Cluster, count: int) -> list[str]:
    """Add machines on standby, which run no executor, and return their names."""
    configure_standby(built)
    built.machines.upkeep_seconds = UPKEEP_SECONDS
    names = [f"spare-{number}" for number in range(count)]
    built.machines.machines.update({name: StandInMachine(name, STANDBY, "") for name in names})
    return names


def request_wave(built: Cluster, machines: Sequence[str], most_away: int = 1) -> None:
    """Request the upkeep of machines, as an operator."""
    wave = {"wave": 1, "machines": list(machines), "durationS": 30, "maximum": most_away}
    built.store.put_document("op/wave/1", wave)


def state_of_wave(built: Cluster) -> str:
    """Return the published state of the wave; empty before the first."""
    item = built.store.items.get("status/wave/1")
    return str(built.store.read_document("status/wave/1")["state"]) if item else ""


def machines_in_upkeep(built: Cluster) -> list[str]:
    """Return the machines that are in upkeep now."""
    return [item.name for item in built.machines.machines.values() if item.state == "upkeep"]


# Guards against a wave that is published as completed although a machine that one list leaves out
# has not begun its upkeep.
@with_cluster(executors=1)
async def test_wave_with_a_machine_that_the_list_leaves_out_is_not_completed(
    built: Cluster,
) -> None:
    await built.owner()
    (name,) = add_spares(built, 1)
    built.machines.unlisted.add(name)
    request_wave(built, [name])
    await until(lambda: state_of_wave(built) == "completed" or bool(machines_in_upkeep(built)))
    assert machines_in_upkeep(built) == [name]
    built.machines.unlisted.clear()
    await until(lambda: state_of_wave(built) == "completed", 10)


# Guards against a wave that never ends because one of its machines has been removed for good.
@with_cluster(executors=1)
async def test_wave_with_a_machine_that_does_not_exist_is_completed(built: Cluster) -> None:
    await built.owner()
    (name,) = add_spares(built, 1)
    request_wave(built, [name, "removed"])
    await until(lambda: state_of_wave(built) == "completed", 10)
    assert built.machines.machines[name].upkeeps == 1


# Guards against one machine too many in upkeep, since the list leaves out one that is away.
@with_cluster(executors=1)
async def test_machine_in_upkeep_that_the_list_leaves_out_keeps_its_place(built: Cluster) -> None:
    await built.owner()
    names = add_spares(built, 2)
    request_wave(built, names)
    await until(lambda: bool(machines_in_upkeep(built)), 5)
    built.machines.unlisted.update(machines_in_upkeep(built))
    await anyio.sleep(UPKEEP_SECONDS - 1)
    assert built.machines.max_away == 1
    built.machines.unlisted.clear()
    await until(lambda: state_of_wave(built) == "completed", 15)
    assert built.machines.max_away == 1


# Guards against the same after a change of owner: the next one knows of machines that are away only
# from what is stored and from the list.
@with_cluster(members=2, executors=1)
async def test_next_owner_keeps_the_place_of_a_machine_that_the_list_leaves_out(
    built: Cluster,
) -> None:
    owner = await built.owner()
    names = add_spares(built, 2)
    request_wave(built, names)
    await until(lambda: bool(machines_in_upkeep(built)), 5)
    built.machines.unlisted.update(machines_in_upkeep(built))
    await anyio.sleep(0.3)
    await built.kill(owner)
    await built.owner()
    await anyio.sleep(UPKEEP_SECONDS - 2)
    assert built.machines.max_away == 1
    built.machines.unlisted.clear()
    await until(lambda: state_of_wave(built) == "completed", 20)
    assert built.machines.max_away == 1
