"""Serve metrics, readiness and status on the admin port."""

from __future__ import annotations

import hmac
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

from vanillawell import clock
from vanillawell.transport.asgi import send_json
from vanillawell.transport.metrics import send_metrics

if TYPE_CHECKING:
    from collections.abc import Callable

    from vanillawell.coordination.assignment import AssignmentSync
    from vanillawell.coordination.configuration import ConfigurationSync
    from vanillawell.coordination.dispatch import Dispatcher
    from vanillawell.coordination.limit_manager import LimitManager
    from vanillawell.coordination.membership import Membership
    from vanillawell.state.burn import BurnCounters
    from vanillawell.telemetry import Telemetry
    from vanillawell.transport.asgi import Receive, Scope, Send


PUBLIC_PATHS = frozenset({"/live", "/ready", "/metrics"})
"""Paths for the load balancer and for collectors of metrics, which send no token."""

EXECUTORS_PATH = "/executors/"
"""Path prefix at which the planner asks whether an executor has been drained."""


@dataclass(frozen=True, slots=True)
class OrganisationStatus:
    """One organisation as this entry sees it."""

    limit: int
    units_held: int
    units_usable: int
    running: int
    wanted: int


@dataclass(frozen=True, slots=True)
class PoolStatus:
    """One pool as this entry sees it."""

    service: str | None
    executors: int
    ejected: list[str]
    running: int
    queued: int
    full: bool
    service_seconds: float


@dataclass(frozen=True, slots=True)
class EntryStatus:
    """Complete status of one entry."""

    instance: str
    incarnation: str
    zone: str
    version: int
    assignment: int
    fresh_age: float
    ready: bool
    entries: int
    lingering: int
    unfinished: int
    store_calls: int
    organisations: dict[str, OrganisationStatus]
    pools: dict[str, PoolStatus]
    evacuated_zones: dict[str, int]
    """Requests of this entry that still run in each evacuated zone."""


class AdminApp:
    """ASGI application of the admin port."""

    def __init__(
        self,
        membership: Membership,
        configuration: ConfigurationSync,
        assignment: AssignmentSync,
        dispatcher: Dispatcher,
        limits: LimitManager,
        telemetry: Telemetry,
        burn: BurnCounters,
        store_calls: Callable[[], int],
        token: str,
    ) -> None:
        self._membership = membership
        self._configuration = configuration
        self._assignment = assignment
        self._dispatcher = dispatcher
        self._limits = limits
        self._telemetry = telemetry
        self._burn = burn
        self._store_calls = store_calls
        self._token = f"Bearer {token}".encode() if token else b""
        self._stopping = False

    @property
    def ready(self) -> bool:
        """Return whether the load balancer should send callers here."""
        return self._configuration.policy is not None and not self._stopping

    def stop(self) -> None:
        """Report as not ready from now on."""
        self._stopping = True

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        if scope["type"] != "http":
            return
        if scope["path"] not in PUBLIC_PATHS and not self._authorized(scope):
            await send_json(send, {"error": "not authorized"}, 401)
            return
        match scope["path"]:
            case "/metrics":
                await self._send_metrics(scope, send)
            case "/live":
                await send_json(send, {"live": True})
            case "/ready":
                await send_json(send, {"ready": self.ready}, 200 if self.ready else 503)
            case "/status":
                await send_json(send, asdict(self.status()))
            case "/burn":
                await send_json(send, self._burn_rows())
            case path if path.startswith(EXECUTORS_PATH):
                await send_json(send, self._executor_status(path.removeprefix(EXECUTORS_PATH)))
            case _:
                await send_json(send, {"error": "no such page"}, 404)

    def _authorized(self, scope: Scope) -> bool:
        presented = next(
            (value for name, value in scope["headers"] if name == b"authorization"), b""
        )
        return hmac.compare_digest(presented, self._token) if self._token else True

    def _burn_rows(self) -> list[dict[str, object]]:
        counts = self._burn.counts(clock.read())
        return [
            {"service": service, "organisation": organisation, **asdict(item)}
            for (service, organisation), item in counts.items()
        ]

    def _executor_status(self, name: str) -> dict[str, int]:
        """Return how many requests this entry runs on an executor, and its assignment's version."""
        running = sum(pool.running_at(name) for pool in self._dispatcher.pools.values())
        return {"assignment": self._assignment.version, "running": running}

    async def _send_metrics(self, scope: Scope, send: Send) -> None:
        self._telemetry.configuration_age.set(
            {}, min(self._configuration.fresh_age(clock.read()), 1e9)
        )
        await send_metrics(self._telemetry.registry, scope, send)

    def status(self) -> EntryStatus:
        """Return the current status of this entry."""
        now = clock.read()
        me = self._membership.me
        policy = self._configuration.policy
        organisations = policy.organisations if policy else {}
        return EntryStatus(
            instance=me.instance,
            incarnation=me.incarnation,
            zone=me.zone,
            version=self._configuration.version,
            assignment=self._assignment.version,
            fresh_age=min(self._configuration.fresh_age(now), 1e9),
            ready=self.ready,
            entries=len(self._membership.members),
            lingering=self._dispatcher.charges.lingering,
            unfinished=self._dispatcher.unfinished,
            store_calls=self._store_calls(),
            organisations={
                name: self._organisation_status(name, organisation.limit, now)
                for name, organisation in organisations.items()
            },
            pools=self._pool_statuses(now),
            evacuated_zones={
                zone: self._dispatcher.running_in_zone(zone)
                for zone in sorted(policy.evacuated_zones if policy else ())
            },
        )

    def _organisation_status(self, name: str, limit: int, now: float) -> OrganisationStatus:
        return OrganisationStatus(
            limit=limit,
            units_held=self._limits.held(name),
            units_usable=self._limits.usable(name, now),
            running=self._dispatcher.charges.charged(name),
            wanted=self._dispatcher.wanted(name),
        )

    def _pool_statuses(self, now: float) -> dict[str, PoolStatus]:
        return {
            name: PoolStatus(
                service=pool.policy.service,
                executors=len(pool.links),
                ejected=[item for item in pool.links if pool.health.of(item).ejected(now)],
                running=pool.running(),
                queued=len(pool.queue),
                full=pool.full,
                service_seconds=round(pool.service_time.mean, 6),
            )
            for name, pool in self._dispatcher.pools.items()
        }
