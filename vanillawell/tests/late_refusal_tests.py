"""Prove that an answer about a former life of an executor says nothing of its present one."""

from __future__ import annotations

from typing import Any, cast

import anyio

from vanillawell.coordination.executor_link import ExecutorLink
from vanillawell.coordination.run_orders import RunOrders
from vanillawell.protocol.executor_calls import HoldReport, WrongIncarnationError
from vanillawell.state.work import RunPhase
from vanillawell.tests.scheduling_builders import Bench, facts, job


class MovedMeanwhile:
    """Take the place of the calls to an executor: it starts again elsewhere during a call, and
    whoever lives at its former address by then refuses it."""

    def __init__(self, bench: Bench) -> None:
        self._bench = bench

    async def stop(self, *_: Any) -> float:
        return self._refuse()

    async def start(self, *_: Any) -> float:
        return self._refuse()

    def _refuse(self) -> float:
        self._bench.now += 0.1
        self._bench.register(facts("i-0", incarnation=2, address="127.0.0.1:2"))
        raise WrongIncarnationError("i-0")


def link_to(bench: Bench) -> ExecutorLink:
    """Return the link to an executor whose first life's clock was read."""
    nothing = cast("Any", None)
    link = ExecutorLink(
        bench.shard.ledger.executors["i-0"],
        cast("Any", MovedMeanwhile(bench)),
        bench.shard,
        cast("Any", type("Token", (), {"token": 1})),
        nothing,
        lambda: None,
        lambda: bench.now,
        6.0,
        0.1,
    )
    link.enter_life(1)
    link.answered(1, 10.0, bench.now, bench.now)
    return link


def orders_of(bench: Bench) -> RunOrders:
    """Return what sends orders over such a link."""
    nothing = cast("Any", None)
    return RunOrders(link_to(bench), nothing, lambda: None, nothing)


def test_a_refusal_at_a_former_address_does_not_end_a_new_life() -> None:
    """The order was meant for a life that is over. Taken for the new one, that would get no work
    for as long as it lives, and what it runs would be started once more."""
    bench = Bench(facts("i-0"))
    bench.admit(job())
    (run,) = bench.place()
    assert run.phase is RunPhase.RUNNING

    async def stop() -> None:
        await orders_of(bench)._stop_once(run.task.task_id, run.number)

    anyio.run(stop)
    present = facts("i-0", incarnation=2, address="127.0.0.1:2")
    assert not bench.shard.ledger.is_over(present)


def test_a_start_refused_for_a_former_life_is_not_charged_to_the_new_one() -> None:
    """The run began nowhere. Left as ordered on the new life, whose leases are renewed for it, the
    task would be away for as long as that lives."""
    bench = Bench(facts("i-0"))
    bench.admit(job())
    bench.shard.place(bench.now, bench.now)
    (run,) = bench.shard.outbox.planned

    async def start() -> None:
        await orders_of(bench)._send_start(run, bench.now)

    anyio.run(start)
    assert not bench.shard.ledger.executors["i-0"].runs
    assert run.task.run is None


def test_a_late_answer_of_a_former_life_does_not_bring_it_back() -> None:
    """The new life has reported when an answer of the former one arrives. Taken for the present
    life, it would let the refusal of the next call end what the new one runs."""
    bench = Bench(facts("i-0"))
    sent = bench.now - 1.0
    executor = bench.register(facts("i-0", incarnation=2))
    bench.shard.take_report(executor, HoldReport(0.0, 2, [], []), bench.now, bench.now, bench.now)
    bench.admit(job())
    (run,) = bench.place()
    bench.shard.take_report(executor, HoldReport(0.0, 1, [], []), sent, bench.now, bench.now)
    assert executor.facts.incarnation == 2
    assert run.task.run is run


def test_a_report_on_a_later_call_is_believed_of_the_life() -> None:
    """An entry that names a life which never was must not make all reports count for nothing."""
    bench = Bench(facts("i-0"))
    executor = bench.register(facts("i-0", incarnation=9))
    bench.now += 1.0
    bench.shard.take_report(executor, HoldReport(0.0, 1, [], []), bench.now, bench.now, bench.now)
    assert executor.facts.incarnation == 1
