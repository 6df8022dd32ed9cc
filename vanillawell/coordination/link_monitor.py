"""Detect unresponsive connections to executors and replace them."""

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
    """Probe executors with overdue answers, one probe at a time for each executor."""

    def __init__(
        self,
        tasks: TaskGroup,
        telemetry: Telemetry,
        hedge: Callable[[PoolRuntime, Attempt, str], None],
        dispatch: Callable[[PoolRuntime, float], None],
    ) -> None:
        self._tasks = tasks
        self._telemetry = telemetry
        self._hedge = hedge
        self._dispatch = dispatch
        self._probing: set[str] = set()

    def check(self, pool: PoolRuntime, now: float) -> None:
        """Probe every executor of a pool that has an overdue answer."""
        for name, link in pool.links.items():
            if name not in self._probing and self._overdue(pool, link, now):
                self._probing.add(name)
                self._tasks.start_soon(self._probe, pool, link)

    def _overdue(self, pool: PoolRuntime, link: BackendLink, now: float) -> bool:
        bound = pool.service_time.overdue_after()
        return any(_is_overdue(item, bound, now) for item in link.attempts)

    async def _probe(self, pool: PoolRuntime, link: BackendLink) -> None:
        """Probe an executor over a new connection, and replace old connections if that works.

        An answer may be overdue because the executor is slow or because a device on the path
        dropped the connection's state, which no error reports. A successful probe shows that new
        connections work, so the old ones are not used again. This includes those to the pool's
        other executors, since such a device usually drops the state of many connections at once.
        Overdue attempts are not cancelled, since they may only be slow; idempotent requests are
        hedged to another executor, and the first answer is used.
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
            self._dispatch(pool, now)
        finally:
            self._probing.discard(name)


def _is_overdue(attempt: Attempt, bound: float, now: float) -> bool:
    is_waiting = not attempt.head_arrived and not attempt.probed
    return is_waiting and now - attempt.started > bound
