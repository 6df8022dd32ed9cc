"""Prove that an answer about a former life of an executor says nothing of its present one."""

from __future__ import annotations

from typing import Any, cast

import anyio

from vanillawell.coordination.executor_link import ExecutorLink
from vanillawell.coordination.run_orders import RunOrders
from vanillawell.protocol.executor_calls import HoldReport, WrongIncarnationError
from vanillawell.state.work import RunPhase
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job


class MovedMeanwhile:
    """Take the place of the calls to an executor: it starts again elsewhere during a call, and
    whoever lives at its former address by then refuses it."""

    def __init__(self, harness: ShardHarness) -> None:
        self._bench = harness

    async def stop(self, *_: Any) -> float:
        return self._refuse()

    async def start(self, *_: Any) -> float:
        return self._refuse()

    def _refuse(self) -> float:
        self._bench.now += 0.1
        self._bench.register(facts("i-0", incarnation=2, address="127.0.0.1:2"))
        raise WrongIncarnationError("i-0")


def link_to(harness: ShardHarness) -> ExecutorLink:
    """Return the link to an executor whose first life's clock was read."""
    nothing = cast("Any", None)
    link = ExecutorLink(
        harness.shard.ledger.executors["i-0"],
        cast("Any", MovedMeanwhile(harness)),
        harness.shard,
        cast("Any", type("Token", (), {"token": 1})),
        nothing,
        lambda: None,
        lambda: harness.now,
        6.0,
        0.1,
    )
    link.enter_life(1)
    link.answered(1, 10.0, harness.now, harness.now)
    return link


def orders_of(harness: ShardHarness) -> RunOrders:
    """Return what sends orders over such a link."""
    nothing = cast("Any", None)
    return RunOrders(link_to(harness), nothing, lambda: None, nothing)


def test_a_refusal_at_a_former_address_does_not_end_a_new_life() -> None:
    """The order was meant for a life that is over. Taken for the new one, that would get no work
    for as long as it lives, and what it runs would be started once more."""
    harness = ShardHarness(facts("i-0"))
    harness.admit(job())
    (run,) = harness.place()
    assert run.phase is RunPhase.RUNNING

    async def stop() -> None:
        await orders_of(harness)._stop_once(run.task.task_id, run.number)

    anyio.run(stop)
    present = facts("i-0", incarnation=2, address="127.0.0.1:2")
    assert not harness.shard.ledger.is_terminated(present)


def test_a_start_refused_for_a_former_life_is_not_charged_to_the_new_one() -> None:
    """The run began nowhere. Left as ordered on the new life, whose leases are renewed for it, the
    task would be away for as long as that lives."""
    harness = ShardHarness(facts("i-0"))
    harness.admit(job())
    harness.shard.place(harness.now, harness.now)
    (run,) = harness.shard.outbox.planned

    async def start() -> None:
        await orders_of(harness)._send_start(run, harness.now)

    anyio.run(start)
    assert not harness.shard.ledger.executors["i-0"].runs
    assert run.task.run is None


def test_a_late_answer_of_a_former_life_does_not_bring_it_back() -> None:
    """The new life has reported when an answer of the former one arrives. Taken for the present
    life, it would let the refusal of the next call end what the new one runs."""
    harness = ShardHarness(facts("i-0"))
    sent = harness.now - 1.0
    executor = harness.register(facts("i-0", incarnation=2))
    harness.shard.take_report(
        executor, HoldReport(0.0, 2, [], []), harness.now, harness.now, harness.now
    )
    harness.admit(job())
    (run,) = harness.place()
    harness.shard.take_report(executor, HoldReport(0.0, 1, [], []), sent, harness.now, harness.now)
    assert executor.facts.incarnation == 2
    assert run.task.run is run


def test_a_report_on_a_later_call_is_believed_of_the_life() -> None:
    """An entry that names a life which never was must not make all reports count for nothing."""
    harness = ShardHarness(facts("i-0"))
    executor = harness.register(facts("i-0", incarnation=9))
    harness.now += 1.0
    harness.shard.take_report(
        executor, HoldReport(0.0, 1, [], []), harness.now, harness.now, harness.now
    )
    assert executor.facts.incarnation == 1
