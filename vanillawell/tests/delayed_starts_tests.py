"""Test that a start order that had to wait is not sent once its run has been closed."""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, cast

import anyio
import pytest

from vanillawell import clock
from vanillawell.coordination.run_orders import RunOrders
from vanillawell.protocol.executor_calls import OrderRefusal, OrderRefusedError
from vanillawell.standins.scheduler.executor import StandInExecutor
from vanillawell.state.end_proofs import EndProof
from vanillawell.state.executors import Executor
from vanillawell.state.progress import Run
from vanillawell.state.work import Resources
from vanillawell.state.work_policy import OrganisationLimits
from vanillawell.tests.scheduler_cluster import Cluster, Member, until, until_state, with_cluster
from vanillawell.tests.scheduler_documents import PREFIX, job, step
from vanillawell.tests.scheduling_builders import ShardHarness, facts, policy
from vanillawell.tests.scheduling_builders import job as plain_job
from vanillawell.tests.scheduling_builders import step as plain_step

if TYPE_CHECKING:
    from collections.abc import Callable

LISTED_AFTER = 2.2
"""Seconds after which the list of machines is believed to name a running executor."""

ORDERS_DRAINED = 4.0
"""Seconds within which all orders to a silent executor have been sent or abandoned."""

TASKS = 12
TASK_CPU = 600
"""Millicores; all tasks together fit on one executor."""

RUN_SECONDS = 0.3


async def fall_silent(built: Cluster, name: str) -> None:
    """Let a machine go down with its executor, and the list of machines show it."""
    owner, job_id = await built.owner(), built.new_id()
    await owner.call("POST", PREFIX + job_id, job())
    await until_state(owner, job_id, "completed")
    await anyio.sleep(LISTED_AFTER)
    built.hosts[name].executor.faults.unresponsive = True
    built.machines.machines[built.hosts[name].machine].state = "down"


def return_under_its_id(built: Cluster, name: str) -> StandInExecutor:
    """Start the executor again under its id, on the same machine; return its new life."""
    built.restart(name)
    built.machines.machines[built.hosts[name].machine].state = "up"
    built.register(name)
    return built.hosts[name].executor


async def submit(built: Cluster, owner: Member, seconds: float) -> str:
    """Submit a job that fills most of one executor; return its id."""
    job_id = built.new_id()
    spec = {"seconds": seconds, "cpu": TASK_CPU}
    body = job(step(TASKS, cpu=TASK_CPU), spec=spec)
    await owner.call("POST", PREFIX + job_id, body)
    return job_id


# Guards against orders to a dead executor that wait for a place and reach its next life, while
# their tasks have been done elsewhere.
@with_cluster(executors=1)
async def test_delayed_start_is_not_sent_after_its_task_was_done_elsewhere(built: Cluster) -> None:
    await fall_silent(built, "i-0")
    owner = await built.owner()
    job_id = await submit(built, owner, RUN_SECONDS)
    await built.add_executor("i-1")
    await until_state(owner, job_id, "completed")
    returned = return_under_its_id(built, "i-0")
    await anyio.sleep(ORDERS_DRAINED)
    assert returned.start_count == 0


# Guards against the same orders filling an executor beyond its capacity beside the work that its
# next life has been given.
@with_cluster(executors=1)
async def test_delayed_starts_do_not_exceed_the_capacity_of_the_next_life(built: Cluster) -> None:
    await fall_silent(built, "i-0")
    owner = await built.owner()
    first = await submit(built, owner, RUN_SECONDS)
    await built.add_executor("i-1")
    await until_state(owner, first, "completed")
    built.leave("i-1")
    returned = return_under_its_id(built, "i-0")
    second = await submit(built, owner, ORDERS_DRAINED)
    await until(lambda: f"{second}.0.0.0" in returned.running)
    await anyio.sleep(ORDERS_DRAINED)
    assert not [text for text in built.audit.violations if "capacity" in text]


def make_orders(harness: ShardHarness, executor: Executor, sent: list[Any]) -> RunOrders:
    """Return the order sender of an executor; `sent` receives its start orders."""

    async def start(*order: Any) -> float:
        sent.append(order)
        return 0.0

    identified = anyio.Event()
    identified.set()
    link: Any = SimpleNamespace(
        executor=executor,
        shard=harness.shard,
        calls=SimpleNamespace(start=start),
        term=SimpleNamespace(token=1, is_held=lambda _: True),
        identified=identified,
        is_identified=True,
        answered_at=float("-inf"),
        has_clock_reading=True,
        may_extend_lease=lambda: True,
        extend_lease=lambda _: SimpleNamespace(end=0.0),
        target=lambda: SimpleNamespace(executor=executor.name, incarnation=1),
        record_answer=lambda *_: None,
        is_from_next_incarnation=lambda *_: False,
        wake_owner=lambda: None,
        count_withdrawn_start=lambda: None,
        describe=lambda _: {},
        wall=lambda: harness.now,
    )
    unused: Any = None
    return RunOrders(link, unused, lambda: None, unused)


def send(orders: RunOrders, run: Run) -> None:
    """Carry out the order of a stored start decision now."""

    async def start() -> None:
        await orders._start(run, clock.read())

    anyio.run(start)


# Guards against sending an order, planned for one life of an executor, to the next one.
def test_start_planned_for_a_previous_life_is_not_sent() -> None:
    harness = ShardHarness(facts("i-0"))
    harness.admit(plain_job())
    (planned,) = harness.plan()
    executor = harness.register(facts("i-0", incarnation=2))
    sent: list[Any] = []
    send(make_orders(harness, executor, sent), planned)
    assert (sent, planned.task.run) == ([], None)


# Guards against stopping a gang that runs elsewhere, since the order for its former run is
# withdrawn late, in a zone that was evacuated meanwhile.
def test_late_withdrawal_does_not_stop_the_next_run_of_the_gang() -> None:
    harness = ShardHarness(facts("i-0"))
    harness.admit(plain_job(plain_step(2, gang=True)))
    planned = harness.plan()
    former = harness.shard.ledger.executors["i-0"]
    harness.shard.ledger.evacuate(frozenset({"a"}))
    harness.shard.mark_terminated("i-0", 1, EndProof.MACHINE_LIST, harness.now, harness.now)
    harness.register(facts("i-1", zone="b"))
    present = harness.place()
    assert len(present) == 2
    send(make_orders(harness, former, []), planned[0])
    assert not any(run.stop_requested for run in present)


def _lower_maximum(harness: ShardHarness) -> None:
    limits = OrganisationLimits("north", 1, Resources(cpu=2_000))
    harness.shard.apply_policy(policy(version=2, organisations={"north": limits}))


def _begin_draining(harness: ShardHarness) -> None:
    harness.register(facts("i-0", draining=True))


def _begin_upkeep(harness: ShardHarness) -> None:
    harness.shard.ledger.executors["i-0"].cordoned = True


def _call_machine_away(harness: ShardHarness) -> None:
    harness.shard.ledger.executors["i-0"].vacating = True


def _doubt_machine(harness: ShardHarness) -> None:
    harness.shard.ledger.executors["i-0"].withheld = True


def _evacuate(harness: ShardHarness) -> None:
    harness.shard.ledger.evacuate(frozenset({"a"}))


CHANGES = [
    _lower_maximum,
    _begin_draining,
    _begin_upkeep,
    _call_machine_away,
    _doubt_machine,
    _evacuate,
]
"""What may become of an executor or an organisation while a start waits for its place."""


# Guards against starts that are ordered seconds after what allowed them has changed: 273 went out
# beyond a maximum that had been lowered, 800 to an executor that drained.
@pytest.mark.parametrize("change", CHANGES)
def test_start_is_judged_again_as_it_leaves(change: Callable[[ShardHarness], None]) -> None:
    harness = ShardHarness(facts("i-0"))
    harness.admit(plain_job(plain_step(6)))
    planned = harness.plan()
    assert len(planned) == 6
    change(harness)
    sent: list[Any] = []
    orders = make_orders(harness, harness.shard.ledger.executors["i-0"], sent)
    for run in planned:
        send(orders, run)
    assert len(sent) == (2 if change is _lower_maximum else 0)
    assert harness.plan() == []
    harness.register(facts("i-1", zone="b"))
    assert len(harness.plan()) == 6 - len(sent) or change is _lower_maximum


# Guards against a gang whose members wait for one that is not started any more and end alone.
@pytest.mark.parametrize("change", CHANGES)
def test_withdrawn_start_takes_its_gang_with_it(change: Callable[[ShardHarness], None]) -> None:
    harness = ShardHarness(facts("i-0"))
    harness.admit(plain_job(plain_step(3, gang=True)))
    planned = harness.plan()
    change(harness)
    sent: list[Any] = []
    orders = make_orders(harness, harness.shard.ledger.executors["i-0"], sent)
    for run in planned:
        send(orders, run)
    assert sent == []


# Guards against the same after a refused ticket of one member.
def test_refused_ticket_of_a_member_takes_its_gang_with_it() -> None:
    harness = ShardHarness(facts("i-0"))
    harness.admit(plain_job(plain_step(3, gang=True)))
    first, *others = harness.plan()

    async def refuse(*_: Any) -> float:
        raise OrderRefusedError(OrderRefusal.INVALID_TICKET)

    orders = make_orders(harness, harness.shard.ledger.executors["i-0"], [])
    orders._link.calls = cast("Any", SimpleNamespace(start=refuse))
    send(orders, first)
    assert all(run.stop_requested for run in others)
