"""Test that an answer about a previous incarnation of an executor does not affect the current
one."""

from __future__ import annotations

from typing import Any, cast

import anyio

from vanillawell.coordination.executor_link import ExecutorLink
from vanillawell.coordination.run_orders import RunOrders
from vanillawell.protocol.executor_calls import HoldReport, WrongIncarnationError
from vanillawell.state.work import RunPhase
from vanillawell.tests.scheduling_builders import Bench, facts, job


class RestartedElsewhere:
    """Executor calls during which the executor restarts at another address; whatever answers at the
    previous address refuses the call."""

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


def make_link(bench: Bench) -> ExecutorLink:
    """Return the link to an executor whose first incarnation's clock was read."""
    unused = cast("Any", None)
    link = ExecutorLink(
        bench.shard.ledger.executors["i-0"],
        cast("Any", RestartedElsewhere(bench)),
        bench.shard,
        cast("Any", type("Token", (), {"token": 1})),
        unused,
        lambda: None,
        lambda: bench.now,
        6.0,
        0.1,
    )
    link.begin_incarnation(1)
    link.record_answer(1, 10.0, bench.now, bench.now)
    return link


def make_orders(bench: Bench) -> RunOrders:
    """Return the order sender of such a link."""
    unused = cast("Any", None)
    return RunOrders(make_link(bench), unused, lambda: None, unused)


def test_refusal_at_previous_address_does_not_terminate_new_incarnation() -> None:
    """The order was addressed to a terminated incarnation. If the refusal were applied to the new
    one, that one would get no tasks for as long as it lives, and its runs would be started a second
    time."""
    bench = Bench(facts("i-0"))
    bench.admit(job())
    (run,) = bench.place()
    assert run.phase is RunPhase.RUNNING

    async def stop() -> None:
        await make_orders(bench)._stop_once(run.task.task_id, run.number)

    anyio.run(stop)
    current = facts("i-0", incarnation=2, address="127.0.0.1:2")
    assert not bench.shard.ledger.is_over(current)


def test_start_refused_for_previous_incarnation_is_not_charged_to_new_one() -> None:
    """The run never began. If it stayed charged to the new incarnation, whose leases are renewed
    for it, the task would not run again for as long as that incarnation lives."""
    bench = Bench(facts("i-0"))
    bench.admit(job())
    bench.shard.place(bench.now, bench.now)
    (run,) = bench.shard.outbox.planned

    async def start() -> None:
        await make_orders(bench)._send_start(run, bench.now)

    anyio.run(start)
    assert not bench.shard.ledger.executors["i-0"].runs
    assert run.task.run is None


def test_late_answer_of_previous_incarnation_does_not_restore_it() -> None:
    """An answer of the previous incarnation arrives after the new one has reported. If it were
    taken for the current incarnation, the refusal of the next call would end the runs of the new
    one."""
    bench = Bench(facts("i-0"))
    sent = bench.now - 1.0
    executor = bench.register(facts("i-0", incarnation=2))
    bench.shard.take_report(executor, HoldReport(0.0, 2, [], []), bench.now, bench.now, bench.now)
    bench.admit(job())
    (run,) = bench.place()
    bench.shard.take_report(executor, HoldReport(0.0, 1, [], []), sent, bench.now, bench.now)
    assert executor.facts.incarnation == 2
    assert run.task.run is run


def test_report_on_later_call_corrects_wrong_incarnation_from_registry() -> None:
    """A registry entry with an incarnation that never existed must not invalidate all reports."""
    bench = Bench(facts("i-0"))
    executor = bench.register(facts("i-0", incarnation=9))
    bench.now += 1.0
    bench.shard.take_report(executor, HoldReport(0.0, 1, [], []), bench.now, bench.now, bench.now)
    assert executor.facts.incarnation == 1
