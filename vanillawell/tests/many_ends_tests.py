"""Test reports that cannot list all ended runs of an executor at once."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any
from unittest.mock import patch

import anyio
import orjson
import pytest

from vanillawell.platform import executors as adapter
from vanillawell.platform.executors import MAX_REPORTED_ENDS, PlatformExecutors
from vanillawell.platform.http import HttpAnswer
from vanillawell.protocol.executor_calls import HoldReport, ReportedEnd, ReportedRun, Target
from vanillawell.standins.scheduler import executor as standin
from vanillawell.state.end_proofs import EndProof
from vanillawell.state.progress import Run, RunPhase
from vanillawell.state.work import Ending
from vanillawell.tests.scheduler_cluster import Cluster, until, until_state, with_cluster
from vanillawell.tests.scheduler_documents import PREFIX
from vanillawell.tests.scheduler_documents import job as body_of_job
from vanillawell.tests.scheduler_documents import step as step_in_body
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, step

if TYPE_CHECKING:
    from vanillawell.state.executors import Executor

CPU = 10
"""Millicores of one task, so that all of them fit on one executor."""

RUN_SECONDS = 3.0
"""Seconds that a task runs unless it is ended; all tasks have to start within that time."""

FEW_ENDS = 40
"""Ends in one report of a test that cannot wait until hundreds of tasks have started."""


async def replace_owner_while_tasks_end(built: Cluster, count: int) -> None:
    """Let `count` tasks end on one executor while there is no owner; wait for the job's end."""
    host = await built.add_executor("large", cpu=CPU * count)
    owner, job_id = await built.owner(), built.new_id()
    body = body_of_job(step_in_body(count, cpu=CPU), spec={"seconds": RUN_SECONDS, "cpu": CPU})
    assert (await owner.call("POST", PREFIX + job_id, body)).status == 200
    await until(lambda: len(host.executor.running) == count)
    await built.kill(owner)
    host.executor.end_all()
    await until_state(await built.owner(), job_id, "completed", RUN_SECONDS + 5)
    await until(lambda: not host.executor.unconfirmed_end_count)


@with_cluster(members=2, executors=0)
async def test_new_owner_starts_no_task_again_whose_end_is_not_in_its_first_report(
    built: Cluster,
) -> None:
    """More tasks end while there is no owner than one report lists. If the new owner took the
    others for lost, they would run twice."""
    with (
        patch.object(adapter, "MAX_REPORTED_ENDS", FEW_ENDS),
        patch.object(standin, "MAX_REPORTED_ENDS", FEW_ENDS),
    ):
        await replace_owner_while_tasks_end(built, 2 * FEW_ENDS + 20)
    assert set(built.audit.started.values()) == {1}


class ReportingHttp:
    """Client whose executors report the given numbers of ends."""

    def __init__(self, ends: int) -> None:
        rows = [[number, f"{number:016x}.0.0.0", 1, "done", ""] for number in range(1, ends + 1)]
        self._document = {"clockMs": 1, "born": 1, "running": [], "finished": rows}

    async def call(self, *_: Any) -> HttpAnswer:
        return HttpAnswer(200, orjson.dumps(self._document))


@pytest.mark.parametrize(
    ("ends", "complete"), [(0, True), (MAX_REPORTED_ENDS - 1, True), (MAX_REPORTED_ENDS, False)]
)
def test_report_with_as_many_ends_as_fit_into_it_may_be_cut(ends: int, complete: bool) -> None:
    calls = PlatformExecutors(ReportingHttp(ends))  # type: ignore[arg-type]
    report = anyio.run(calls.hold, Target("i-0", "127.0.0.1:1", 1), 1, 0, None, 0.0)
    assert report.lists_all_ends is complete


def run_on_executor(phase: RunPhase, stopped: bool) -> tuple[ShardHarness, Executor, Run]:
    """Return a shard with two runs on an executor, one of them in the given state."""
    harness = ShardHarness(facts("i-0"))
    harness.admit(job(step(2)))
    run = harness.place()[1]
    run.enter_phase(phase, harness.now)
    run.stop_requested = stopped
    run.stop_confirmed = harness.now if stopped else None
    return harness, harness.shard.ledger.executors["i-0"], run


def report_of(run: Run, *, lists_all_ends: bool) -> HoldReport:
    """Return a report that lists the end of another run than `run`."""
    other = next(task.run for task in run.task.step.tasks if task.run not in (None, run))
    end = ReportedEnd(1, other.task.task_id, other.number, Ending.DONE, "")
    return HoldReport(0.0, 1, [], [end], lists_all_ends)


@pytest.mark.parametrize(
    ("phase", "stopped"),
    [(RunPhase.INHERITED, False), (RunPhase.RUNNING, True), (RunPhase.UNCERTAIN, True)],
)
def test_run_missing_from_a_report_that_may_be_cut_stays_charged(
    phase: RunPhase, stopped: bool
) -> None:
    """Its end may be the next one that the executor lists; started again, it would run twice."""
    harness, executor, run = run_on_executor(phase, stopped)
    now = harness.now + 1
    harness.shard.apply_report(executor, report_of(run, lists_all_ends=False), now, now, now)
    assert harness.shard.ledger.is_charged(run)
    assert harness.place() == []
    harness.shard.apply_report(executor, HoldReport(0.0, 1, [], []), now, now, now)
    assert not harness.shard.ledger.is_charged(run)
    assert harness.shard.closed_runs[EndProof.ABSENT] == 1


def test_run_of_a_former_life_missing_from_a_report_that_may_be_cut_stays_charged() -> None:
    """The order may have reached the new life, where the run has ended behind the listed ends."""
    harness, executor, run = run_on_executor(RunPhase.RUNNING, stopped=False)
    executor.begin_incarnation(1, harness.now)
    now = harness.now + 1
    harness.shard.apply_report(executor, report_of(run, lists_all_ends=False), now, now, now)
    assert harness.shard.ledger.is_charged(run)


def test_run_missing_from_a_report_that_may_be_cut_is_not_stopped() -> None:
    """A stop of a run that has ended adds a call for each of hundreds of runs, and tells nothing
    that the next report does not."""
    harness, executor, run = run_on_executor(RunPhase.UNCERTAIN, stopped=False)
    now = harness.now + 1
    harness.shard.apply_report(executor, report_of(run, lists_all_ends=False), now, now, now)
    assert not run.stop_requested
    harness.shard.apply_report(executor, HoldReport(0.0, 1, [], []), now, now, now)
    assert run.stop_requested


def test_report_that_lists_a_run_counts_even_if_it_may_be_cut() -> None:
    harness, executor, run = run_on_executor(RunPhase.INHERITED, stopped=False)
    row = ReportedRun(run.task.task_id, run.number, "", 100, 0.0)
    report = HoldReport(0.0, 1, [row], report_of(run, lists_all_ends=False).ended, False)
    harness.shard.apply_report(executor, report, harness.now, harness.now, harness.now)
    assert run.phase is RunPhase.RUNNING
