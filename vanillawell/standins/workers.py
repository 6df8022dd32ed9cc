"""Emulate the platform's workers: tasks under leases, checkpoints and lagging usage reports."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

CHECKPOINT_INTERVAL = 0.5
"""Seconds between two periodic checkpoints of a task."""

HELD_WORK_FRACTION = 0.5
"""Fraction of its work at which a task stops progressing while work is held."""


@dataclass(slots=True)
class Task:
    """One task on a worker."""

    worker: str
    job: str
    work: float
    cores: float
    lease_until: float
    done: float = 0.0
    checkpoint: float = 0.0
    state: str = "running"
    updated: float = 0.0
    checkpointed_at: float = 0.0


@dataclass(slots=True)
class WorkerSetup:
    """Settings of one worker, as sent by a test."""

    cores: float = 4.0
    fails_all: bool = False


@dataclass
class Workers:
    """Emulate all workers and tasks of the platform."""

    setups: dict[str, WorkerSetup] = field(default_factory=dict)
    broken_jobs: set[str] = field(default_factory=set)
    real_cores: dict[str, float] = field(default_factory=dict)
    """Cores that a job really uses, where they differ from the declared ones."""

    held: bool = False
    """Whether tasks keep running but stop progressing at HELD_WORK_FRACTION of their work."""

    usage_lag: float = 0.3
    tasks: dict[str, Task] = field(default_factory=dict)
    finished: list[str] = field(default_factory=list)
    """Jobs in the order of their completion; a job listed twice was run twice."""

    stops: int = 0
    usage_history: deque[tuple[float, dict[str, float]]] = field(
        default_factory=lambda: deque(maxlen=500)
    )

    def set_up(self, request: dict[str, Any]) -> None:
        """Apply the settings sent by a test."""
        self.setups = {name: WorkerSetup(**item) for name, item in request["workers"].items()}
        self.broken_jobs = set(request.get("broken_jobs", ()))
        self.real_cores = dict(request.get("real_cores", {}))
        self.held = bool(request.get("held", False))

    def advance(self, now: float) -> None:
        """Advance all running tasks up to now and record the used cores."""
        for task in self.tasks.values():
            if task.state == "running":
                self._advance_task(task, now)
        used: dict[str, float] = dict.fromkeys(self.setups, 0.0)
        for task in self.tasks.values():
            if task.state == "running":
                used[task.worker] += task.cores
        self.usage_history.append((now, used))

    def _advance_task(self, task: Task, now: float) -> None:
        if now > task.lease_until:
            task.state = "lost"
            return
        progress = task.done + (now - task.updated) * task.cores
        max_done = max(task.done, HELD_WORK_FRACTION * task.work) if self.held else progress
        task.done = min(progress, max_done)
        task.updated = now
        if self.setups[task.worker].fails_all or task.job in self.broken_jobs:
            task.state = "failed"
        elif task.done >= task.work:
            task.state = "done"
            self.finished.append(task.job)
        elif now - task.checkpointed_at > CHECKPOINT_INTERVAL:
            task.checkpoint, task.checkpointed_at = task.done, now

    def call(self, path: str, request: dict[str, Any], now: float) -> dict[str, Any]:
        """Serve one call of the platform's interface for workers and tasks."""
        self.advance(now)
        match path:
            case "/platform/workers":
                return self._report_usage(now)
            case "/platform/tasks/start":
                return self._start_task(request, now)
            case "/platform/tasks/stop":
                return self._stop_task(request["id"])
            case _:
                return self._report_tasks(request, now)

    def _report_usage(self, now: float) -> dict[str, Any]:
        lagged = [used for at, used in self.usage_history if at <= now - self.usage_lag]
        used = lagged[-1] if lagged else dict.fromkeys(self.setups, 0.0)
        workers = {
            name: {"cores": item.cores, "used": used.get(name, 0.0), "live": True}
            for name, item in self.setups.items()
        }
        return {"workers": workers}

    def _start_task(self, request: dict[str, Any], now: float) -> dict[str, Any]:
        """Start a task; the same id never starts a second one."""
        if request["id"] not in self.tasks:
            job = request["job"]
            self.tasks[request["id"]] = Task(
                worker=request["worker"],
                job=job,
                work=request["work"],
                cores=self.real_cores.get(job, request["cores"]),
                lease_until=now + request["ttl"],
                done=request["checkpoint"],
                checkpoint=request["checkpoint"],
                updated=now,
                checkpointed_at=now,
            )
        return {}

    def _stop_task(self, task_id: str) -> dict[str, Any]:
        """Stop a running task after a checkpoint."""
        task = self.tasks.get(task_id)
        if task and task.state == "running":
            task.checkpoint = task.done
            task.state = "stopped"
            self.stops += 1
        return {}

    def _report_tasks(self, request: dict[str, Any], now: float) -> dict[str, Any]:
        """Report tasks and renew their leases."""
        requested = {key: self.tasks[key] for key in request["ids"] if key in self.tasks}
        for task in requested.values():
            if task.state == "running":
                task.lease_until = now + request["ttl"]
        return {
            "tasks": {
                key: {
                    "state": task.state,
                    "done": task.done,
                    "checkpoint": task.checkpoint,
                    "used_cores": task.cores,
                }
                for key, task in requested.items()
            }
        }
