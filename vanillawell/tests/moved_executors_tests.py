"""Test what an order to move a machine, and the list of machines, prove of its executor."""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import anyio
import pytest

from vanillawell import clock
from vanillawell.coordination.pool_rebalancer import PoolRebalancer
from vanillawell.protocol.call_errors import NoAnswerError
from vanillawell.protocol.machine_calls import Machine, MachineState
from vanillawell.state.pool_sizing import MachineMove
from vanillawell.tests.scheduling_builders import POOL, ShardHarness, facts, job, step

if TYPE_CHECKING:
    from collections.abc import Callable

OTHER_POOL = "other"
OVERDUE = 10.0
"""Seconds after which a machine that was moved should have arrived."""


class MoveCalls:
    """Service for machines that carries out each move; `on_move` happens before its answer."""

    def __init__(self, on_move: Callable[[], None]) -> None:
        self._on_move = on_move

    async def move(self, *_: object) -> None:
        self._on_move()


async def announce_nothing(_: object) -> None:
    """Take orders for announced."""


def rebalancer(
    harness: ShardHarness, on_move: Callable[[], None] = lambda: None, fresh: bool = True
) -> PoolRebalancer:
    """Return the rebalancer of a shard; its announcements are `fresh` once they are stored."""
    ports: Any = SimpleNamespace(machines=MoveCalls(on_move))
    orders: Any = SimpleNamespace(
        duty=None,
        announce=announce_nothing,
        is_fresh=lambda *_: fresh,
        claim=lambda *_: True,
        release=lambda *_: None,
        is_claimed=lambda _: False,
    )
    term: Any = SimpleNamespace(token=1)
    return PoolRebalancer(harness.shard, term, ports, orders, lambda: None)


def harness_with_run() -> ShardHarness:
    """Return a shard with an executor, i-0, that runs a task and answers."""
    harness = ShardHarness(facts("i-0"))
    harness.admit(job(step(long_running=True)))
    assert len(harness.place()) == 1
    return harness


def miss_arrival(pools: PoolRebalancer, harness: ShardHarness, *listed: Machine) -> None:
    """Let the machine of i-0 be overdue in another pool, by a list made since."""
    now = clock.read()
    pools._arriving["m-i-0"] = (OTHER_POOL, now - OVERDUE)
    pools._machines = {item.name: item for item in listed}
    pools._listed_at = now
    pools._process_arrivals("standby", harness.shard.ledger.by_machine(), now)


def test_machine_missing_from_one_list_does_not_end_the_runs_of_an_executor_that_answers() -> None:
    """The list may lack a page. If it counted, the tasks would run twice."""
    harness = harness_with_run()
    miss_arrival(rebalancer(harness), harness)
    executor = harness.shard.ledger.executors["i-0"]
    assert executor.runs
    assert not executor.accepts_tasks(harness.now)
    executor.record_answer(clock.read())
    assert executor.accepts_tasks(harness.now)


@pytest.mark.parametrize(("pool", "ended"), [(OTHER_POOL, True), (POOL, False)])
def test_list_tells_whether_an_overdue_machine_was_moved(pool: str, ended: bool) -> None:
    harness = harness_with_run()
    miss_arrival(rebalancer(harness), harness, Machine("m-i-0", pool, MachineState.UP, None))
    assert ("i-0" not in harness.shard.ledger.executors) is ended


def test_late_answer_to_a_move_does_not_end_the_next_life_of_the_executor() -> None:
    """The answer takes longer than the move, and the machine is back under the same id. If its new
    life counted as ended, its registration would be ignored for as long as it lives."""
    harness = ShardHarness(facts("i-0"))
    arrived = facts("i-0", incarnation=2, service=OTHER_POOL)
    pools = rebalancer(harness, lambda: harness.shard.register(arrived, harness.now))
    move = MachineMove("m-i-0", OTHER_POOL, "needed")
    executor = harness.shard.ledger.executors["i-0"]
    pools._expect_arrival(move.machine, move.pool, clock.read())
    assert executor.cordoned
    anyio.run(pools._move, move, executor)
    executor.record_answer(clock.read())
    assert harness.shard.ledger.executors["i-0"].facts == arrived
    assert executor.accepts_tasks(clock.read())


def test_confirmed_move_ends_the_executor() -> None:
    harness = ShardHarness(facts("i-0"))
    move = MachineMove("m-i-0", OTHER_POOL, "needed")
    anyio.run(rebalancer(harness)._move, move, harness.shard.ledger.executors["i-0"])
    assert not harness.shard.ledger.executors


def lose_answer() -> None:
    """Lose the answer to an order."""
    raise NoAnswerError("lost")


# Guards against two holders that order one machine too soon after one another: a successor waits
# only for orders that are sent soon after their announcement.
@pytest.mark.parametrize("fresh", [True, False])
def test_unanswered_move_is_repeated_only_within_its_own_announcement(fresh: bool) -> None:
    harness = ShardHarness(facts("i-0"))
    orders: list[str] = []
    pools = rebalancer(harness, lambda: orders.append("order"), fresh)
    move = MachineMove("m-i-0", OTHER_POOL, "needed")
    pools._unanswered.add(move, clock.read() - OVERDUE)
    anyio.run(pools._repeat_unanswered, harness.shard.ledger.by_machine(), clock.read())
    assert orders == (["order"] if fresh else [])
    assert ("m-i-0" in pools._unanswered) is not fresh


def test_move_whose_repeated_order_is_not_answered_either_stays_unanswered() -> None:
    harness = ShardHarness(facts("i-0"))
    pools = rebalancer(harness, lose_answer)
    move = MachineMove("m-i-0", OTHER_POOL, "needed")
    pools._unanswered.add(move, clock.read() - OVERDUE)
    anyio.run(pools._repeat_unanswered, harness.shard.ledger.by_machine(), clock.read())
    assert "m-i-0" in pools._unanswered
    assert pools._unanswered.due(clock.read()) == []
