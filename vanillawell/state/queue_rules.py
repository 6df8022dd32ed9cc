"""Keep the rules of all queues that have had jobs, also once the configuration has dropped them."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from vanillawell.state.work_policy import Queue

DEFAULT_ATTEMPTS = 3
"""Failed runs of a task after which its job fails, if the job's queue is no longer configured."""


class QueueRules:
    """The latest rules of each queue, and which queues have had jobs."""

    def __init__(self) -> None:
        self._rules: dict[str, Queue] = {}
        self._used: set[str] = set()
        """Names of the queues of all jobs that were tracked so far."""

    def apply(self, queues: Mapping[str, Queue]) -> None:
        """Apply the queues of a newer configuration; others keep their last rules."""
        self._rules.update(queues)

    def restore(self, queues: Mapping[str, Queue]) -> None:
        """Add stored rules of queues that the configuration no longer contains."""
        self._rules = {**queues, **self._rules}

    def record_use(self, queue: str) -> None:
        """Record that a queue has a job."""
        self._used.add(queue)

    def get(self, queue: str) -> Queue | None:
        """Return the rules of a queue; None if they are unavailable."""
        return self._rules.get(queue)

    def attempts(self, queue: str) -> int:
        """Return the failed runs of a task after which a job of a queue fails."""
        rules = self._rules.get(queue)
        return rules.attempts if rules else DEFAULT_ATTEMPTS

    def in_use(self) -> dict[str, Queue]:
        """Return the available rules of the queues of all jobs tracked so far."""
        return {name: self._rules[name] for name in sorted(self._used) if name in self._rules}

    def missing(self) -> set[str]:
        """Return the queues of jobs tracked so far whose rules are unavailable."""
        return self._used - self._rules.keys()
