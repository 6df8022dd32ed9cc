"""Prove that an answer about a former life of an executor says nothing of its present one."""

from __future__ import annotations

from typing import Any, cast

import anyio

from vanillawell.coordination.executor_link import ExecutorLink
from vanillawell.coordination.run_orders import RunOrders
from vanillawell.protocol.executor_calls import WrongIncarnationError
from vanillawell.state.work import RunPhase
from vanillawell.tests.scheduling_builders import Bench, facts, job


class MovedMeanwhile:
    """Take the place of the calls to an executor: it starts again elsewhere during a call, and
    whoever lives at its former address by then refuses it."""

    def __init__(self, bench: Bench) -> None:
        self._bench = bench

    async def stop(self, *_: Any) -> float:
        self._bench.register(facts("i-0", incarnation=2, address="127.0.0.1:2"))
        raise WrongIncarnationError("i-0")


def test_a_refusal_at_a_former_address_does_not_end_a_new_life() -> None:
    """The order was meant for a life that is over. Taken for the new one, that would get no work
    for as long as it lives, and what it runs would be started once more."""
    bench = Bench(facts("i-0"))
    bench.admit(job())
    (run,) = bench.place()
    assert run.phase is RunPhase.RUNNING
    executor = bench.shard.ledger.executors["i-0"]
    nothing = cast("Any", None)
    link = ExecutorLink(
        executor,
        cast("Any", MovedMeanwhile(bench)),
        bench.shard,
        cast("Any", type("Token", (), {"token": 1})),
        nothing,
        lambda: None,
        lambda: 0.0,
        6.0,
        0.1,
    )

    async def stop() -> None:
        orders = RunOrders(link, nothing, lambda: None, nothing)
        await orders._stop_once(run.task.task_id, run.number)

    anyio.run(stop)
    present = facts("i-0", incarnation=2, address="127.0.0.1:2")
    assert not bench.shard.ledger.is_over(present)
