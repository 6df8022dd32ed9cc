"""Decide how long an executor gets no new tasks after repeated restarts.

The load: some executors go down and come back each second. Each time they look idle, get as many
tasks as fit and lose them all.
"""

from __future__ import annotations

from dataclasses import dataclass, field

RESTART_MEMORY = 10.0
"""Seconds after which a restart is forgotten."""

PENALISED_RESTARTS = 2
"""Restarts within that time from which an executor is penalised; one may be planned upkeep."""

FIRST_PENALTY = 2.0
"""Seconds of the first penalty; each further restart doubles it."""

MAX_PENALTY = 8.0
"""Maximum seconds of a penalty."""


@dataclass(slots=True)
class RestartHistory:
    """Recent restarts of one executor."""

    _restarts: list[float] = field(default_factory=list)

    def record(self, now: float) -> float:
        """Record a restart; return the seconds for which the executor should get no new tasks."""
        self._restarts = [moment for moment in self._restarts if moment > now - RESTART_MEMORY]
        self._restarts.append(now)
        beyond = len(self._restarts) - PENALISED_RESTARTS
        return min(MAX_PENALTY, FIRST_PENALTY * 2.0**beyond) if beyond >= 0 else 0.0
