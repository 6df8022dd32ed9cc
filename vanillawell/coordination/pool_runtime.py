"""Hold an entry's runtime state of one pool."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from vanillawell.state.health import PoolHealth
from vanillawell.state.queueing import FairQueue, SlotUse
from vanillawell.state.response_times import ServiceTime
from vanillawell.state.retries import RetryBudget
from vanillawell.state.routing import Candidate, RoutingView, connection_bound, executor_subset
from vanillawell.state.slot_allocation import (
    PoolDemand,
    executor_quotas,
    round_parts,
    source_targets,
)

if TYPE_CHECKING:
    from collections.abc import Mapping, Set

    from vanillawell.protocol.backend_calls import BackendLink, LinkOpener
    from vanillawell.state.demand_table import DemandTable
    from vanillawell.state.policy import PoolPolicy

EXCESS_ATTEMPT_INTERVAL = 0.05
"""Minimum seconds between two attempts beyond an entry's own slots of a full pool."""

MIN_REPORTED_USE = 0.05
"""Slot-seconds up to which an organisation's past use of a pool is not reported."""


class PoolRuntime:
    """Queue, connections to executors and statistics of one pool in this entry."""

    def __init__(self, policy: PoolPolicy, zone: str, source: str, open_link: LinkOpener) -> None:
        self.policy = policy
        self.queue = FairQueue()
        self.health = PoolHealth(policy.eject_ratio, policy.eject_cap)
        self.budget = RetryBudget(policy.retry_ratio)
        self.service_time = ServiceTime()
        self.links: dict[str, BackendLink] = {}
        self.retired: list[BackendLink] = []
        self.refreshed_at = 0.0
        self._zone = zone
        self._open_link = open_link
        self._source = source
        self._uses: dict[str, SlotUse] = {}
        self._quotas: Mapping[str, int] = {}
        self._targets: Mapping[str, float] = {}
        self._others_used: Counter[str] = Counter()
        self._full = False
        self._pressure = 0.0
        self._wanted = 0
        self._exceeded_at = 0.0
        self._max_running = 1

    @property
    def full(self) -> bool:
        """Return whether the fleet's demand for this pool exceeds its slots."""
        return self._full

    @property
    def pressure(self) -> float:
        """Return the ratio of the fleet's demand to the pool's slots."""
        return self._pressure

    @property
    def wanted(self) -> int:
        """Return the slots that the demand of the whole fleet would fill, as last reported."""
        return self._wanted

    def configure(self, policy: PoolPolicy, entries: tuple[str, ...]) -> None:
        """Apply a policy and the list of entries; removed links finish their running attempts."""
        self.policy = policy
        self._max_running = connection_bound(policy.connections, len(entries))
        names = tuple(executor.name for executor in policy.executors)
        own_names = set(executor_subset(names, entries, self._source, policy.connections))
        wanted = {item.name: item for item in policy.executors if item.name in own_names}
        removed = [name for name, link in self.links.items() if wanted.get(name) != link.executor]
        self.retired.extend(self.links.pop(name) for name in removed)
        for name, executor in wanted.items():
            if name not in self.links:
                self.links[name] = self._open_link(executor, self._max_running)
        self.health.retain_only(set(wanted))

    def running(self) -> int:
        """Return the number of attempts in progress in this pool."""
        return sum(use.running for use in self._uses.values())

    def running_at(self, executor: str) -> int:
        """Return the number of attempts in progress at one executor."""
        return sum(len(link.attempts) for link in self._all_links if link.executor.name == executor)

    def running_in_zone(self, zone: str) -> int:
        """Return the number of attempts in progress at the executors of a zone."""
        return sum(len(link.attempts) for link in self._all_links if link.executor.zone == zone)

    @property
    def _all_links(self) -> tuple[BackendLink, ...]:
        """Return all links, including removed ones whose attempts are still in progress."""
        return (*self.links.values(), *self.retired)

    def adjust_slots_used(self, organisation: str, delta: int, now: float) -> None:
        """Add `delta` to the slots that an organisation uses; a negative value frees slots."""
        self._uses.setdefault(organisation, SlotUse(now)).change(delta, now)

    def own_demand(self) -> dict[str, int]:
        """Return the number of running and queued requests of each organisation."""
        running = {
            organisation: use.running for organisation, use in self._uses.items() if use.running
        }
        return dict(Counter(running) + Counter(self.queue.lengths()))

    def own_rows(self, now: float) -> list[tuple[str, int, float]]:
        """Return organisation, demand and slot-seconds of each organisation with recent use."""
        demand = self.own_demand()
        rows = [
            (organisation, demand.get(organisation, 0), use.used(now))
            for organisation, use in self._uses.items()
        ]
        waiting = [
            (organisation, count, 0.0)
            for organisation, count in demand.items()
            if organisation not in self._uses
        ]
        return [row for row in (*rows, *waiting) if row[1] or row[2] > MIN_REPORTED_USE]

    def refresh(self, demand_table: DemandTable, shares: Mapping[str, float], now: float) -> None:
        """Recalculate the division of the pool's slots from the latest reports."""
        self.refreshed_at = now
        demand = demand_table.pool_demand(self.policy.name, self._source, self.own_demand())
        demand = _drop_unknown_organisations(demand, shares)
        names = tuple(name for name in self.links if not self.health.of(name).ejected(now))
        total = len(names) * self.policy.slots
        self._others_used = demand_table.slots_used(self.policy.name)
        wanted = sum(demand.by_organisation().values())
        self._full = wanted > total
        self._wanted = wanted
        self._pressure = wanted / total if total else 0.0
        targets = source_targets(total, demand, shares)
        self._targets = targets.get(self._source, {})
        sums = {source: sum(row.values()) for source, row in targets.items()}
        parts = round_parts(sums, total)
        self._quotas = executor_quotas(parts, names, self.policy.slots, self._source)

    def view(self, avoid: Set[str], now: float) -> RoutingView:
        """Return the input that routing needs to choose an executor."""
        may_exceed = now - self._exceeded_at > EXCESS_ATTEMPT_INTERVAL
        candidates = tuple(
            Candidate(name, link.executor.zone, len(link.attempts))
            for name, link in self.links.items()
        )
        return RoutingView(
            candidates,
            self._quotas,
            self._full,
            may_exceed,
            self._max_running,
            self._zone,
            avoid,
        )

    def record_start(self, executor: str, now: float) -> None:
        """Record the start of an attempt, and whether it exceeds this entry's own slots."""
        self.health.record_start(executor, now)
        if self._full and self.running_at(executor) >= self._quotas.get(executor, 0):
            self._exceeded_at = now

    def weighted_use(self, organisation: str, shares: Mapping[str, float], now: float) -> float:
        """Return the fleet's slot use by an organisation, divided by its share."""
        use = self._uses.get(organisation)
        used = self._others_used[organisation] + (use.used(now) if use else 0.0)
        return used / shares.get(organisation, 1.0)

    def slots_of(self, organisation: str) -> float:
        """Return the slots available to an organisation on this entry."""
        if self._full:
            return self._targets.get(organisation, 0.0)
        return float(len(self.links) * self.policy.slots)


def _drop_unknown_organisations(demand: PoolDemand, shares: Mapping[str, float]) -> PoolDemand:
    """Drop organisations that are not in this entry's configuration (not yet, or no longer)."""
    return PoolDemand(
        {
            source: {
                organisation: count for organisation, count in row.items() if organisation in shares
            }
            for source, row in demand.by_source.items()
        }
    )
