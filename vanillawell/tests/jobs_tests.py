"""Test when and where deferrable jobs run."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Any

from vanillawell.standins.processes import wait_until
from vanillawell.state.jobs import (
    Job,
    JobRegistry,
    JobState,
    TaskReport,
    TaskState,
    Worker,
    apply_report,
    jobs_to_start,
    jobs_to_stop,
)
from vanillawell.tests.builders import QUICK_TIMING
from vanillawell.tests.caller import Call
from vanillawell.tests.fleet_base import SteadyCallers, run_during_load, running_fleet

if TYPE_CHECKING:
    from pathlib import Path

    from vanillawell.standins.fleet import EntryHandle, Fleet


def job(name: str, finish_by: float = 1000.0, **changes: Any) -> Job:
    return replace(Job(name, "guild", "rebuild", 10.0, 1.0, finish_by), **changes)


def registry(*jobs: Job, **changes: Any) -> JobRegistry:
    return replace(JobRegistry(1, {item.job_id: item for item in jobs}), **changes)


def workers(count: int = 2, cores: float = 2.0, used: float = 0.0) -> list[Worker]:
    return [Worker(f"w{number}", cores, used, True) for number in range(count)]


def test_the_job_with_the_least_slack_starts_first() -> None:
    started = jobs_to_start(registry(job("late", 500), job("soon", 60)), workers(1, 1.2), 0.0, 0.0)
    assert [item.job_id for item, _ in started] == ["soon"]


def test_jobs_are_stopped_for_urgent_work_unless_their_deadline_nears() -> None:
    """A peak of urgent work begins while two jobs run: one has hours left, the other none."""
    flexible = job("free", 1000, state=JobState.RUNNING, worker="w0")
    due_soon = job("pressed", 12, state=JobState.RUNNING, worker="w1")
    assert [item.job_id for item in jobs_to_stop(registry(flexible, due_soon), 0.9, 0.0)] == [
        "free"
    ]
    waiting = registry(job("free"), job("pressed", 12))
    assert [item.job_id for item, _ in jobs_to_start(waiting, workers(), 0.9, 0.0)] == ["pressed"]


def test_measured_size_replaces_a_wrong_declaration() -> None:
    running = job("a", state=JobState.RUNNING, worker="w0")
    report = TaskReport(TaskState.RUNNING, 1.0, 0.0, 8.0)
    learned = apply_report(registry(running), running, report)
    assert learned.expected_cores(job("b")) > 4.0
    assert jobs_to_start(replace(learned, jobs={"b": job("b")}), workers(), 0.0, 0.0) == []


def test_a_job_that_fails_on_several_workers_fails_finally() -> None:
    current_registry, current = registry(job("bad")), job("bad")
    for number in range(3):
        current = replace(current, state=JobState.RUNNING, worker=f"w{number}")
        current_registry = apply_report(
            current_registry, current, TaskReport(TaskState.FAILED, 0, 0, 0)
        )
        current = current_registry.jobs["bad"]
    assert current.state is JobState.FAILED
    assert "w0, w1, w2" in current.error


def test_a_worker_that_fails_every_job_is_excluded() -> None:
    failed = [job(f"j{number}", failed_on=("w0",)) for number in range(3)]
    assert registry(*failed).excluded_workers() == {"w0"}
    assert registry(*failed, succeeded_on={"w0": 1}).excluded_workers() == set()
    assert all(
        worker == "w1" for _, worker in jobs_to_start(registry(*failed), workers(), 0.0, 0.0)
    )


def test_a_lost_task_continues_from_its_checkpoint() -> None:
    running = job("a", state=JobState.RUNNING, worker="w0", attempt=1)
    after = apply_report(registry(running), running, TaskReport(TaskState.LOST, 6.0, 5.0, 1.0))
    assert after.jobs["a"].state is JobState.WAITING
    assert after.jobs["a"].checkpoint == 5.0


def test_the_job_registry_survives_serialisation() -> None:
    one = registry(job("a", failed_on=("w0",)), size_ratio={"rebuild": 2.0}, succeeded_on={"w1": 3})
    assert JobRegistry.from_bytes(one.to_bytes()) == one


def states(fleet: Fleet) -> dict[str, str]:
    return {row["job"]: row["state"] for row in fleet.cli("job", "list")}


def count_running_on_good_workers(fleet: Fleet) -> int:
    """Return the number of jobs running on workers that do not fail every job."""
    rows = fleet.cli("job", "list")
    return sum(row["state"] == "running" and row["worker"].startswith("good") for row in rows)


def find_job_runner(fleet: Fleet) -> EntryHandle:
    """Return the entry with the role of job runner."""

    def active(entry: EntryHandle) -> bool:
        lines = [line for line in entry.process.log_text.splitlines() if '"job runner"' in line]
        return bool(lines) and '"active"' in lines[-1] and entry.process.running

    wait_until(
        lambda: any(active(entry) for entry in fleet.entries.values()), "an entry is the job runner"
    )
    return next(entry for entry in fleet.entries.values() if active(entry))


def test_each_job_completes_once_despite_a_peak_and_a_killed_runner(tmp_path: Path) -> None:
    """A peak of urgent work begins while jobs run, and the entry that runs jobs is killed.

    The jobs must be stopped, continue from their checkpoints afterwards and complete exactly once.
    The job that can never succeed gets its final error, and the worker that fails every job gets no
    more. No job completes more than half of its work before the peak, however late that is.
    """
    workers_document = {
        "good-1": {"cores": 4},
        "good-2": {"cores": 4},
        "good-3": {"cores": 4},
        "bad-1": {"cores": 8, "fails_all": True},
    }
    with running_fleet(
        tmp_path,
        zones=2,
        organisations={"guild": {"limit": 100}},
        executors_per_service=2,
        timing=QUICK_TIMING,
    ) as fleet:
        kinds = [f"kind{number}" for number in range(4)]
        jobs = {
            kind: fleet.cli(
                "job", "submit", "guild", kind, "--core-seconds", "6", "--within", "120"
            )["job"]
            for kind in (*kinds, "broken")
        }
        workers_now = {"workers": workers_document, "broken_jobs": [jobs["broken"]]}
        fleet.set_up_workers(**workers_now, held=True)
        wait_until(lambda: count_running_on_good_workers(fleet) >= 3, "jobs are running")
        callers = SteadyCallers(
            list(fleet.entries.values()),
            lambda n: Call(mark=f"m{n}", run_seconds=0.6, timeout=5.0),
            open_requests=30,
        )

        def peak() -> None:
            wait_until(lambda: fleet.finished_jobs()["stops"] > 0, "jobs are stopped")
            fleet.set_up_workers(**workers_now)
            killed = find_job_runner(fleet)
            callers.remove_entry(killed)
            killed.process.kill()

        run_during_load(callers, peak)
        ended = {"done", "failed"}
        wait_until(lambda: set(states(fleet).values()) <= ended, "all jobs have ended", bound=60.0)
        good = sorted(jobs[kind] for kind in kinds)
        assert sorted(fleet.finished_jobs()["finished"]) == good
        assert states(fleet)[jobs["broken"]] == "failed"
