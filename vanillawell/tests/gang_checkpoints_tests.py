"""Test that all members of a gang resume from the same checkpoint."""

from __future__ import annotations

import orjson
import pytest

from vanillawell.protocol.executor_calls import HoldReport, ReportedRun
from vanillawell.protocol.work_documents import read_record, write_record
from vanillawell.state.end_proofs import EndProof
from vanillawell.state.progress import Run
from vanillawell.state.work import Ending, Job
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job, step

MEMBERS = 3


def _running_gang() -> tuple[ShardHarness, Job, list[Run]]:
    """Return a gang of which each member runs on an executor of its own."""
    harness = ShardHarness(*(facts(f"i-{number}", cpu=1_000) for number in range(MEMBERS)))
    gang = job(step(MEMBERS, gang=True, saves_progress=True))
    harness.admit(gang)
    return harness, gang, harness.place()


def _report(harness: ShardHarness, run: Run, checkpoint: str) -> None:
    """Let an executor report a checkpoint of a run."""
    harness.now += 0.05
    executor = harness.shard.ledger.executors[run.executor]
    row = ReportedRun(run.task.task_id, run.number, checkpoint, 10, 0.0)
    report = HoldReport(0.0, executor.facts.incarnation, [row], [])
    harness.shard.apply_report(executor, report, harness.now, harness.now, harness.now)


def _lose_all(harness: ShardHarness, runs: list[Run]) -> None:
    """Lose all executors of a gang, and register others."""
    for run in runs:
        harness.shard.mark_terminated(
            run.executor, 1, EndProof.NEXT_ON_MACHINE, harness.now, harness.now
        )
    for number in range(MEMBERS):
        harness.register(facts(f"new-{number}", cpu=1_000))


# Guards against a gang whose members resume from different checkpoints, as each one's executor
# reported last before they were all lost.
def test_gang_resumes_from_one_checkpoint_after_all_its_executors_were_lost() -> None:
    harness, _, runs = _running_gang()
    for number, run in enumerate(runs):
        _report(harness, run, f"saved-{number}")
    _lose_all(harness, runs)
    resumed = harness.place()
    assert len(resumed) == MEMBERS
    assert {run.checkpoint for run in resumed} == {f"saved-{MEMBERS - 1}"}


# Guards against the same where only some members have reported a checkpoint.
def test_gang_resumes_from_the_checkpoint_of_the_only_member_that_reported_one() -> None:
    harness, _, runs = _running_gang()
    _report(harness, runs[1], "saved")
    _lose_all(harness, runs)
    assert {run.checkpoint for run in harness.place()} == {"saved"}


# Guards against the same for starts that leave one after the other: an end of the former run may be
# taken note of between them.
def test_starts_of_a_gang_keep_the_checkpoint_that_they_were_planned_with() -> None:
    harness, gang, runs = _running_gang()
    _report(harness, runs[0], "saved")
    _lose_all(harness, runs)
    resumed = harness.place()
    table = harness.shard.job_table
    table.record_end(runs[0].task, Ending.STOPPED, "later", harness.now)
    assert {run.checkpoint for run in resumed} == {"saved"}
    assert gang.job_id in table.jobs


# Guards against the same after a change of owner, whose predecessor stored a checkpoint for each
# member.
@pytest.mark.parametrize("stored", [["", "b", "c"], ["a", "", ""], ["a", "b", "c"]])
def test_gang_of_an_earlier_owner_resumes_from_one_checkpoint(stored: list[str]) -> None:
    harness, gang, _ = _running_gang()
    document = orjson.loads(write_record(harness.shard.job_table.jobs[gang.job_id]))
    for index, checkpoint in enumerate(stored):
        row = document["occurrences"]["0"][0]["tasks"][str(index)]
        row[2], row[3] = checkpoint, None
    later = ShardHarness(*(facts(f"i-{number}", cpu=1_000) for number in range(MEMBERS)))
    record, inherited = read_record(gang, orjson.dumps(document), later.now, later.now)
    assert not inherited
    later.shard.job_table.add(record)
    resumed = later.place()
    assert len(resumed) == MEMBERS
    (checkpoint,) = {run.checkpoint for run in resumed}
    assert checkpoint in set(stored) - {""}
