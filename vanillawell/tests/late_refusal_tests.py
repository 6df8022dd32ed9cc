"""Test that an answer about a previous incarnation of an executor does not affect the current
one."""

from __future__ import annotations

from typing import Any, cast

import anyio

from vanillawell.coordination.executor_link import ExecutorLink
from vanillawell.coordination.run_orders import RunOrders
from vanillawell.protocol.executor_calls import HoldReport, WrongIncarnationError
from vanillawell.state.progress import RunPhase
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job


class RestartedElsewhere:
    """Executor calls during which the executor restarts at another address; whatever answers at the
    previous address refuses the call."""

    def __init__(self, harness: ShardHarness) -> None:
        self._harness = harness

    async def stop(self, *_: Any) -> float:
        return self._refuse()

    async def start(self, *_: Any) -> float:
        return self._refuse()

    def _refuse(self) -> float:
        self._harness.now += 0.1
        self._harness.register(facts("i-0", incarnation=2, address="127.0.0.1:2"))
        raise WrongIncarnationError("i-0")


def make_link(harness: ShardHarness) -> ExecutorLink:
    """Return the link to an executor whose first incarnation's clock was read."""
    unused = cast("Any", None)
    link = ExecutorLink(
        harness.shard.ledger.executors["i-0"],
        cast("Any", RestartedElsewhere(harness)),
        harness.shard,
        cast("Any", type("Token", (), {"token": 1})),
        unused,
        lambda: None,
        lambda: harness.now,
        6.0,
        0.1,
    )
    link.begin_incarnation(1)
    link.record_answer(1, 10.0, harness.now, harness.now)
    return link


def make_orders(harness: ShardHarness) -> RunOrders:
    """Return the order sender of such a link."""
    unused = cast("Any", None)
    return RunOrders(make_link(harness), unused, lambda: None, unused)


def test_refusal_at_previous_address_does_not_terminate_new_incarnation() -> None:
    """The order was addressed to a terminated incarnation. If the refusal were applied to the new
    one, that one would get no tasks for as long as it lives, and its runs would be started a second
    time."""
    harness = ShardHarness(facts("i-0"))
    harness.admit(job())
    (run,) = harness.place()
    assert run.phase is RunPhase.RUNNING

    async def stop() -> None:
        await make_orders(harness)._stop_once(run.task.task_id, run.number)

    anyio.run(stop)
    current = facts("i-0", incarnation=2, address="127.0.0.1:2")
    assert not harness.shard.ledger.is_terminated(current)


def test_start_refused_for_previous_incarnation_is_not_charged_to_new_one() -> None:
    """The run never began. If it stayed charged to the new incarnation, whose leases are renewed
    for it, the task would not run again for as long as that incarnation lives."""
    harness = ShardHarness(facts("i-0"))
    harness.admit(job())
    harness.shard.place(harness.now, harness.now)
    (run,) = harness.shard.outbox.planned

    async def start() -> None:
        await make_orders(harness)._send_start(run, harness.now)

    anyio.run(start)
    assert not harness.shard.ledger.executors["i-0"].runs
    assert run.task.run is None


def test_late_answer_of_previous_incarnation_does_not_restore_it() -> None:
    """An answer of the previous incarnation arrives after the new one has reported. If it were
    taken for the current incarnation, the refusal of the next call would end the runs of the new
    one."""
    harness = ShardHarness(facts("i-0"))
    sent = harness.now - 1.0
    executor = harness.register(facts("i-0", incarnation=2))
    harness.shard.apply_report(
        executor, HoldReport(0.0, 2, [], []), harness.now, harness.now, harness.now
    )
    harness.admit(job())
    (run,) = harness.place()
    harness.shard.apply_report(executor, HoldReport(0.0, 1, [], []), sent, harness.now, harness.now)
    assert executor.facts.incarnation == 2
    assert run.task.run is run


def test_report_on_later_call_corrects_wrong_incarnation_from_registry() -> None:
    """A registry entry with an incarnation that never existed must not invalidate all reports."""
    harness = ShardHarness(facts("i-0"))
    executor = harness.register(facts("i-0", incarnation=9))
    harness.now += 1.0
    harness.shard.apply_report(
        executor, HoldReport(0.0, 1, [], []), harness.now, harness.now, harness.now
    )
    assert executor.facts.incarnation == 1
