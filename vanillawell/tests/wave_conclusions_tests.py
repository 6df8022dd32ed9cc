"""Test what an owner concludes about a wave of upkeep from lists and refusals."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import anyio

from vanillawell import clock
from vanillawell.coordination.upkeep_orders import REPEAT_DELAY, UpkeepOrders
from vanillawell.protocol.call_errors import NoAnswerError
from vanillawell.protocol.machine_calls import UpkeepRefusal, UpkeepRefusedError
from vanillawell.standins.scheduler.machines import StandInMachine
from vanillawell.state.upkeep import Wave, WaveProgress
from vanillawell.tests.scheduler_cluster import Cluster, until, with_cluster
from vanillawell.tests.scheduling_builders import ShardHarness
from vanillawell.tests.standby_pools import STANDBY, configure_standby

UPKEEP_SECONDS = 4.0
"""Seconds that an upkeep takes; longer than the time after which a machine may be back."""

WAVE_SECONDS = 30.0
"""Seconds that a wave may take."""


def add_spares(built: Cluster, count: int) -> list[str]:
    """Add machines on standby, which run no executor, and return their names."""
    configure_standby(built)
    built.machines.upkeep_seconds = UPKEEP_SECONDS
    names = [f"spare-{number}" for number in range(count)]
    built.machines.machines.update({name: StandInMachine(name, STANDBY, "") for name in names})
    return names


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
    built.request_wave([name], WAVE_SECONDS)
    await until(lambda: state_of_wave(built) == "completed" or bool(machines_in_upkeep(built)))
    assert machines_in_upkeep(built) == [name]
    built.machines.unlisted.clear()
    await until(lambda: state_of_wave(built) == "completed", 10)


# Guards against a wave that never ends because one of its machines has been removed for good.
@with_cluster(executors=1)
async def test_wave_with_a_machine_that_does_not_exist_is_completed(built: Cluster) -> None:
    await built.owner()
    (name,) = add_spares(built, 1)
    built.request_wave([name, "removed"], WAVE_SECONDS)
    await until(lambda: state_of_wave(built) == "completed", 10)
    assert built.machines.machines[name].upkeeps == 1


# Guards against one machine too many in upkeep, since the list leaves out one that is away.
@with_cluster(executors=1)
async def test_machine_in_upkeep_that_the_list_leaves_out_keeps_its_place(built: Cluster) -> None:
    await built.owner()
    names = add_spares(built, 2)
    built.request_wave(names, WAVE_SECONDS)
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
    built.request_wave(names, WAVE_SECONDS)
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


class UpkeepAnswers:
    """Service for machines that gives the listed answers to orders for upkeep, one after another;
    None confirms the order."""

    def __init__(self, *answers: Exception | None) -> None:
        self._answers = list(answers)

    async def begin_upkeep(self, *_: object) -> None:
        answer = self._answers.pop(0)
        if answer is not None:
            raise answer


async def save_nothing(_: WaveProgress) -> None:
    """Take the progress of a wave for stored."""


async def announce_nothing(_: object) -> None:
    """Take orders for announced."""


def upkeep_orders(*answers: Exception | None) -> UpkeepOrders:
    """Return the sender of orders to a service that gives these answers."""
    ports: Any = SimpleNamespace(machines=UpkeepAnswers(*answers))
    orders: Any = SimpleNamespace(
        duty=None,
        announce=announce_nothing,
        claim=lambda *_: True,
        release=lambda *_: None,
        is_claimed=lambda _: False,
        is_fresh=lambda *_: True,
        may_order=lambda *_: True,
    )
    term: Any = SimpleNamespace(token=1)
    return UpkeepOrders(ShardHarness().shard, term, ports, orders, save_nothing, lambda: None)


async def order_twice(orders: UpkeepOrders, progress: WaveProgress) -> None:
    """Order the upkeep of a wave's machines, and repeat what is unconfirmed."""
    await orders.begin(progress, progress.wave.machines)
    await orders.repeat_unconfirmed(progress, clock.read() + 2 * REPEAT_DELAY)


def progress_of(*machines: str) -> WaveProgress:
    """Return a wave that has just been read."""
    return WaveProgress(Wave(1, machines, 30.0, 1), clock.read())


# Guards against one machine too many in upkeep: an order is carried out without an answer, and the
# repeated one is refused because the machine is down for its upkeep.
def test_refusal_of_a_repeated_order_does_not_free_the_place_of_a_machine() -> None:
    progress = progress_of("m-0")
    refusal = UpkeepRefusedError(UpkeepRefusal.BUSY)
    anyio.run(order_twice, upkeep_orders(NoAnswerError("lost"), refusal), progress)
    assert "m-0" in progress.away
    assert progress.unconfirmed == {"m-0"}


# Guards against a wave that waits for a machine whose only order was refused.
def test_refusal_of_the_only_order_frees_the_place_of_a_machine() -> None:
    progress = progress_of("m-0")
    refusal = UpkeepRefusedError(UpkeepRefusal.BUSY)
    anyio.run(upkeep_orders(refusal).begin, progress, ["m-0"])
    assert not progress.away
    assert not progress.decided


# Guards against a place that is never free again: no machine of that name exists any more.
def test_machine_that_no_longer_exists_frees_its_place() -> None:
    progress = progress_of("m-0")
    refusal = UpkeepRefusedError(UpkeepRefusal.NO_SUCH_MACHINE)
    anyio.run(order_twice, upkeep_orders(NoAnswerError("lost"), refusal), progress)
    assert not progress.away
    assert progress.confirmed == {"m-0"}
