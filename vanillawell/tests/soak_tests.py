"""Test that the soak's checks find the starts that break a rule, and play one short seed."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from typing import Any

import anyio
import orjson
import pytest

from vanillawell.standins.soak.__main__ import ROOT
from vanillawell.standins.soak.checks import find_violations
from vanillawell.standins.soak.executor import STOP_SECONDS, SoakExecutor
from vanillawell.standins.soak.job_checks import (
    CANCEL_TIME,
    JobHistory,
    find_job_violations,
    first_starts,
)
from vanillawell.standins.soak.plan import RULES, FaultKind, build_plan
from vanillawell.standins.soak.play import PlayOptions, play
from vanillawell.standins.soak.record import Life, Record, RunRecord
from vanillawell.standins.soak.wave_checks import WaveRecord, find_wave_violations

JOB = "00000000000000aa"
TASK = f"{JOB}.0.0.0"
OTHER_TASK = "00000000000000bb.0.0.0"

FIRST = Life("i-1", born=1_000, cpu=16_000, memory=32_000)
NEXT_LIFE = replace(FIRST, born=9_000)
SECOND = Life("i-2", born=1_000, cpu=16_000, memory=32_000)


def run(task: str, number: int, life: Life, began: float, **fields: Any) -> RunRecord:
    """Return a run of 9 of the 16 cores of its executor."""
    return RunRecord(task, number, life, 1, 9_000, 100, began, began, **fields)


def rules(*runs: RunRecord) -> list[str]:
    """Return the rules that the runs break."""
    return [violation.rule for violation in find_violations(runs)]


# Guards against an executor that is given more than its capacity unnoticed.
def test_start_over_capacity_is_found() -> None:
    running = run(TASK, 1, FIRST, 1.0)
    assert rules(running, run(OTHER_TASK, 1, FIRST, 2.0)) == ["LIMIT"]


# Guards against freeing the room of a run in its stop before it has ended.
def test_stopping_run_counts_until_its_end() -> None:
    stopping = run(TASK, 1, FIRST, 1.0, stop_requested_at=1.5, ended_at=2.1, ending="stopped")
    assert rules(stopping, run(OTHER_TASK, 1, FIRST, 2.0)) == ["LIMIT"]
    assert rules(stopping, run(OTHER_TASK, 1, FIRST, 2.2)) == []


# Guards against memory being left out of the check.
def test_start_over_memory_is_found() -> None:
    running = replace(run(TASK, 1, FIRST, 1.0), cpu=1_000, memory=20_000)
    start = replace(run(OTHER_TASK, 1, FIRST, 2.0), cpu=1_000, memory=20_000)
    assert rules(running, start) == ["LIMIT"]


# Guards against counting what a life ran that has ended.
def test_other_life_has_its_own_room() -> None:
    assert rules(run(TASK, 1, FIRST, 1.0), run(OTHER_TASK, 1, NEXT_LIFE, 2.0)) == []


# Guards against two runs of a task at once that nobody notices.
def test_second_run_beside_the_first_is_found() -> None:
    first = run(TASK, 1, FIRST, 1.0, ended_at=3.0, ending="done")
    assert rules(first, run(TASK, 2, SECOND, 2.0)) == ["TWICE at once"]


# Guards against a task that runs again after its end was noted, with a lower number, too.
def test_run_after_a_noted_end_is_found() -> None:
    done = run(TASK, 2, FIRST, 1.0, ended_at=2.0, ending="done", noted_at=2.1)
    assert rules(done, run(TASK, 1, SECOND, 4.0)) == ["TWICE after done"]


# Guards against a task that runs again although its end is noted only later.
def test_run_before_the_end_is_noted_is_found() -> None:
    done = run(TASK, 1, FIRST, 1.0, ended_at=2.0, ending="done", noted_at=9.0)
    assert rules(done, run(TASK, 2, SECOND, 4.0)) == ["TWICE after done"]


# Guards against findings where the end was lost with its executor, or was none.
def test_run_after_an_end_that_does_not_stand_is_allowed() -> None:
    lost = run(TASK, 1, FIRST, 1.0, ended_at=2.0, ending="done")
    failed = run(OTHER_TASK, 1, SECOND, 1.0, ended_at=2.0, ending="lapsed", noted_at=2.1)
    assert rules(lost, failed, run(TASK, 2, SECOND, 4.0), run(OTHER_TASK, 2, FIRST, 4.0)) == []


# Guards against mixing up what the scheduler does with orders that an executor carried out late.
def test_late_orders_are_told_apart() -> None:
    late = run(OTHER_TASK, 1, FIRST, 2.0, late=True)
    assert [found.late for found in find_violations([run(TASK, 1, FIRST, 1.0), late])] == [True]


def order(task: str, number: int = 1, deadline_ms: int = 5_000) -> dict[str, Any]:
    """Return a start order for a run of 9 cores that takes a second."""
    spec = orjson.dumps({"seconds": 1.0, "cpu": 9_000, "memory": 100}).decode()
    return {"task": task, "run": number, "spec": spec, "deadlineMs": deadline_ms, "fence": 1}


# Guards against a stand-in that hides a breach: it starts what it is told, and keeps the record.
def test_executor_records_what_breaks_a_rule() -> None:
    record = Record()
    executor = SoakExecutor(FIRST, record, now=0.0)
    assert executor.start(order(TASK), 0.1, now=0.1) == ""
    executor.stop(TASK, 1, now=0.2)
    assert executor.start(order(OTHER_TASK), 0.3, now=0.3) == ""
    assert rules(*record.runs) == ["LIMIT"]
    executor.end_due_runs(0.2 + STOP_SECONDS)
    assert [record.ending for record in record.runs] == ["stopped", ""]


# Guards against an end that counts as noted although the lease had expired by then.
def test_end_confirmed_after_the_lease_is_not_noted() -> None:
    record = Record()
    executor = SoakExecutor(FIRST, record, now=0.0)
    executor.start(order(TASK, deadline_ms=3_000), 0.1, now=0.1)
    executor.start(order(OTHER_TASK, deadline_ms=3_000), 0.1, now=0.1)
    executor.end_due_runs(1.5)
    executor.confirm_ends(1, now=2.0)
    executor.confirm_ends(2, now=4.0)
    assert [run.noted_at for run in record.runs] == [2.0, None]


def job_rules(job: JobHistory, *runs: RunRecord) -> list[str]:
    """Return the rules that a job breaks at the end of a play."""
    return [violation.rule for violation in find_job_violations([job], runs)]


# Guards against an accepted job that never ends and that nobody misses.
@pytest.mark.parametrize("state", ["", "queued", "running", "status 410"])
def test_accepted_job_that_has_not_ended_is_found(state: str) -> None:
    assert job_rules(JobHistory(JOB, [503, 200], state=state)) == ["LOST"]
    assert job_rules(JobHistory(JOB, [200], cancelled_at=1.0, state=state)) == ["LOST"]
    assert job_rules(JobHistory(JOB, [503, 0], state=state)) == []


@pytest.mark.parametrize("state", ["completed", "failed"])
def test_accepted_job_that_has_ended_is_not_lost(state: str) -> None:
    assert job_rules(JobHistory(JOB, [200], state=state)) == []


# Guards against a job that is told as cancelled without cause.
def test_cancellation_that_nobody_asked_for_is_found() -> None:
    assert job_rules(JobHistory(JOB, [200], state="cancelled")) == ["LOST"]
    assert job_rules(JobHistory(JOB, [200], asked_to_cancel=True, state="cancelled")) == []


# Guards against a task that starts although its job was cancelled long before.
def test_start_after_an_acknowledged_cancellation_is_found() -> None:
    job = JobHistory(JOB, [200], asked_to_cancel=True, cancelled_at=1.0, state="cancelled")
    assert job_rules(job, run(TASK, 1, FIRST, 1.0 + CANCEL_TIME)) == []
    assert job_rules(job, run(TASK, 1, FIRST, 1.1 + CANCEL_TIME, late=True)) == []
    assert job_rules(job, run(TASK, 1, FIRST, 1.1 + CANCEL_TIME)) == ["UNASKED"]
    assert job_rules(job, run(OTHER_TASK, 1, FIRST, 9.0)) == []


# Guards against a refusal that says "not run" of a job that runs.
def test_job_that_ran_although_it_was_refused_is_found() -> None:
    assert job_rules(JobHistory(JOB, [503, 429]), run(TASK, 1, FIRST, 1.0)) == ["REFUSED"]
    assert job_rules(JobHistory(JOB, [503, 504]), run(TASK, 1, FIRST, 1.0)) == []
    assert job_rules(JobHistory(JOB, [503, 0]), run(TASK, 1, FIRST, 1.0)) == []


def wave_rules(**fields: Any) -> list[str]:
    """Return the rules that a wave breaks, which may have two machines down at a time."""
    record = WaveRecord(1, 2, were_away=2, not_begun=frozenset(), completed=True)
    return [violation.rule for violation in find_wave_violations([replace(record, **fields)])]


# Guards against more machines down for their upkeep than operators allow.
def test_wave_with_too_many_machines_down_is_found() -> None:
    assert wave_rules() == []
    assert wave_rules(were_away=3) == ["LIMIT of a wave"]


# Guards against a wave that is told as completed too soon.
def test_wave_that_is_completed_without_one_of_its_upkeeps_is_found() -> None:
    assert wave_rules(not_begun=frozenset({"m-1"})) == ["MIXED"]
    assert wave_rules(not_begun=frozenset({"m-1"}), completed=False) == []


# Guards against plans that differ between two plays of a seed, or leave a kind of fault out.
def test_plan_follows_from_its_seed() -> None:
    plan = build_plan(7, 600, 60)
    assert plan == build_plan(7, 600, 60)
    assert {fault.kind for fault in plan} == set(RULES)


# Guards against starts that break a rule once processes, store and executors fail in turn.
def test_short_play_breaks_no_rule(tmp_path: Path) -> None:
    options = PlayOptions(
        seed=4,
        seconds=18,
        entries=5,
        executors=15,
        load=0.4,
        checkout=ROOT,
        dependencies=ROOT / "target/deps",
        folder=tmp_path,
    )
    outcome = anyio.run(play, options, backend_options={"use_uvloop": True})
    assert [violation.describe() for violation in outcome.violations] == []
    assert outcome.ended_entries == []
    assert outcome.runs > 50


# Guards against seeds whose faults are others once an organisation presses, so that plays of one
# seed could not be compared.
def test_plan_keeps_its_other_faults_while_an_organisation_presses() -> None:
    plain, pressed = (build_plan(5, 60, 60, presses) for presses in (False, True))
    assert any(fault.kind is FaultKind.PRESS for fault in pressed)
    assert [fault for fault in pressed if fault.kind is not FaultKind.PRESS] == plain


# Guards against waits that are measured from a later task of a job, or of another one.
def test_first_start_of_a_job_is_that_of_its_first_task() -> None:
    accepted = JobHistory(JOB, kind="price", accepted_at=2.0)
    other = JobHistory("00000000000000bb", kind="price")
    runs = [
        run(TASK, 1, FIRST, 5.5),
        run(f"{JOB}.0.0.1", 1, FIRST, 3.5),
        run(OTHER_TASK, 1, FIRST, 2),
    ]
    assert first_starts([accepted, other], runs) == {"price": 1.5}
