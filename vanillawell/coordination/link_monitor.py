"""Find connections to executors that have gone silent, and move to new ones."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from vanillawell import clock

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from vanillawell.coordination.pool_runtime import PoolRuntime
    from vanillawell.protocol.backend_calls import Attempt, BackendLink
    from vanillawell.telemetry import Telemetry


class LinkMonitor:
    """Own the probes of one entry, one at a time for each executor."""

    def __init__(
        self,
        tasks: TaskGroup,
        telemetry: Telemetry,
        hedge: Callable[[PoolRuntime, Attempt, str], None],
        pump: Callable[[PoolRuntime, float], None],
    ) -> None:
        self._tasks = tasks
        self._telemetry = telemetry
        self._hedge = hedge
        self._pump = pump
        self._probing: set[str] = set()

    def look_at(self, pool: PoolRuntime, now: float) -> None:
        """Probe every executor of a pool that has an overdue answer."""
        for name, link in pool.links.items():
            if name not in self._probing and self._overdue(pool, link, now):
                self._probing.add(name)
                self._tasks.start_soon(self._probe, pool, link)

    def _overdue(self, pool: PoolRuntime, link: BackendLink, now: float) -> bool:
        bound = pool.service_time.overdue_after()
        return any(_is_overdue(item, bound, now) for item in link.attempts)

    async def _probe(self, pool: PoolRuntime, link: BackendLink) -> None:
        """Tell silence from slowness, and move to new connections if those work.

        An overdue answer may be slow or its connection silent; nothing reports a silent one.
        A probe on a new connection that succeeds says that new ones work, so none of the old
        ones is used again, nor those to the pool's other executors, since what lost track of one
        path has often lost track of its neighbours. What is overdue is not cut, since it may
        just be slow; an idempotent request is sent once more elsewhere, and the first answer
        counts.
        """
        name = link.executor.name
        try:
            alive = await link.probe()
            now = clock.read()
            self._telemetry.probes.inc({"executor": name, "alive": str(alive).lower()})
            if alive:
                for neighbour in list(pool.links.values()):
                    await neighbour.replace_connections(now)
            else:
                pool.health.record_failure(name, now, len(pool.links), sent=False)
            bound = pool.service_time.overdue_after()
            for item in [item for item in link.attempts if _is_overdue(item, bound, now)]:
                item.probed = True
                self._hedge(pool, item, name)
            self._pump(pool, now)
        finally:
            self._probing.discard(name)


def _is_overdue(attempt: Attempt, bound: float, now: float) -> bool:
    waits = not attempt.head_arrived and not attempt.probed
    return waits and now - attempt.started > bound
