"""Play the platform's workers: tasks under leases, checkpoints, and usage that lags."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

CHECKPOINT_EVERY = 0.5
"""Seconds between two checkpoints that a task makes by itself."""

HELD_AT = 0.5
"""Part of its work at which a task waits while work is held."""


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
    saved_at: float = 0.0


@dataclass(slots=True)
class WorkerSetup:
    """What a test says of one worker."""

    cores: float = 4.0
    fails_all: bool = False


@dataclass
class Workers:
    """Own all workers and tasks of the emulated platform."""

    setups: dict[str, WorkerSetup] = field(default_factory=dict)
    broken_jobs: set[str] = field(default_factory=set)
    real_cores: dict[str, float] = field(default_factory=dict)
    """Cores that a job really uses, where that differs from what was declared."""

    held: bool = False
    """Whether tasks run on without getting further than a part of their work."""

    lag: float = 0.3
    tasks: dict[str, Task] = field(default_factory=dict)
    finished: list[str] = field(default_factory=list)
    """Jobs in the order in which they were done; a job named twice was run twice."""

    stops: int = 0
    usage: deque[tuple[float, dict[str, float]]] = field(default_factory=lambda: deque(maxlen=500))

    def set_up(self, request: dict[str, Any]) -> None:
        """Take over what a test says."""
        self.setups = {name: WorkerSetup(**item) for name, item in request["workers"].items()}
        self.broken_jobs = set(request.get("broken_jobs", ()))
        self.real_cores = dict(request.get("real_cores", {}))
        self.held = bool(request.get("held", False))

    def advance(self, now: float) -> None:
        """Let every running task go on up to now."""
        for task in self.tasks.values():
            if task.state == "running":
                self._advance(task, now)
        used: dict[str, float] = dict.fromkeys(self.setups, 0.0)
        for task in self.tasks.values():
            if task.state == "running":
                used[task.worker] += task.cores
        self.usage.append((now, used))

    def _advance(self, task: Task, now: float) -> None:
        if now > task.lease_until:
            task.state = "lost"
            return
        reached = task.done + (now - task.updated) * task.cores
        most = max(task.done, HELD_AT * task.work) if self.held else reached
        task.done = min(reached, most)
        task.updated = now
        if self.setups[task.worker].fails_all or task.job in self.broken_jobs:
            task.state = "failed"
        elif task.done >= task.work:
            task.state = "done"
            self.finished.append(task.job)
        elif now - task.saved_at > CHECKPOINT_EVERY:
            task.checkpoint, task.saved_at = task.done, now

    def call(self, path: str, request: dict[str, Any], now: float) -> dict[str, Any]:
        """Answer one call of the platform's interface."""
        self.advance(now)
        match path:
            case "/platform/workers":
                return self._report(now)
            case "/platform/tasks/start":
                return self._start(request, now)
            case "/platform/tasks/stop":
                return self._stop(request["id"])
            case _:
                return self._tasks(request, now)

    def _report(self, now: float) -> dict[str, Any]:
        old = [used for at, used in self.usage if at <= now - self.lag]
        used = old[-1] if old else dict.fromkeys(self.setups, 0.0)
        workers = {
            name: {"cores": item.cores, "used": used.get(name, 0.0), "live": True}
            for name, item in self.setups.items()
        }
        return {"workers": workers}

    def _start(self, request: dict[str, Any], now: float) -> dict[str, Any]:
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
                saved_at=now,
            )
        return {}

    def _stop(self, task_id: str) -> dict[str, Any]:
        """Let a task make a checkpoint and end."""
        task = self.tasks.get(task_id)
        if task and task.state == "running":
            task.checkpoint = task.done
            task.state = "stopped"
            self.stops += 1
        return {}

    def _tasks(self, request: dict[str, Any], now: float) -> dict[str, Any]:
        """Report tasks and renew their leases."""
        found = {key: self.tasks[key] for key in request["ids"] if key in self.tasks}
        for task in found.values():
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
                for key, task in found.items()
            }
        }
