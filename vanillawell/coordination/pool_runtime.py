"""Hold what one entry knows and does for one pool."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from vanillawell.state.health import PoolHealth
from vanillawell.state.queueing import FairQueue, SlotUse
from vanillawell.state.response_times import ServiceTime
from vanillawell.state.retries import RetryBudget
from vanillawell.state.routing import Candidate, RoutingView, connection_bound, subset
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

EXCEED_INTERVAL = 0.05
"""Seconds between two attempts beyond an entry's own slots of a full pool."""

LEAST_DEMAND = 0.05
"""Slot-seconds below which an organisation's past use of a pool is no longer reported."""


class PoolRuntime:
    """Queue, executors and measurements of one pool in this entry."""

    def __init__(self, policy: PoolPolicy, zone: str, source: str, open_link: LinkOpener) -> None:
        self.policy = policy
        self.queue = FairQueue()
        self.health = PoolHealth(policy.eject_ratio, policy.eject_cap)
        self.budget = RetryBudget(policy.retry_ratio)
        self.service_time = ServiceTime()
        self.links: dict[str, BackendLink] = {}
        self.retired: list[BackendLink] = []
        self.refreshed = 0.0
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
        self._most_running = 1

    @property
    def full(self) -> bool:
        """Tell whether the fleet wants more of this pool than it holds."""
        return self._full

    @property
    def pressure(self) -> float:
        """Return the fleet's demand as a part of the pool's slots."""
        return self._pressure

    @property
    def wanted(self) -> int:
        """Return the slots that the whole fleet's demand would fill, as last reported."""
        return self._wanted

    def configure(self, policy: PoolPolicy, entries: tuple[str, ...]) -> None:
        """Take over a policy and the fleet's entries; links that leave finish what they run."""
        self.policy = policy
        self._most_running = connection_bound(policy.connections, len(entries))
        names = tuple(executor.name for executor in policy.executors)
        mine = set(subset(names, entries, self._source, policy.connections))
        wanted = {item.name: item for item in policy.executors if item.name in mine}
        gone = [name for name, link in self.links.items() if wanted.get(name) != link.executor]
        self.retired.extend(self.links.pop(name) for name in gone)
        for name, executor in wanted.items():
            if name not in self.links:
                self.links[name] = self._open_link(executor, self._most_running)
        self.health.keep(set(wanted))

    def running(self) -> int:
        """Return the attempts under way in this pool."""
        return sum(use.running for use in self._uses.values())

    def running_at(self, executor: str) -> int:
        """Return the attempts under way at one executor."""
        links = (*self.links.values(), *self.retired)
        return sum(len(link.attempts) for link in links if link.executor.name == executor)

    def occupy(self, organisation: str, delta: int, now: float) -> None:
        """Note that `delta` slots were taken or, if negative, freed by an organisation."""
        self._uses.setdefault(organisation, SlotUse(now)).change(delta, now)

    def own_demand(self) -> dict[str, int]:
        """Return the requests running or queued here by organisation."""
        running = {
            organisation: use.running for organisation, use in self._uses.items() if use.running
        }
        return dict(Counter(running) + Counter(self.queue.lengths()))

    def own_rows(self, now: float) -> list[tuple[str, int, float]]:
        """Return organisation, demand and slot-seconds of each organisation seen lately."""
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
        return [row for row in (*rows, *waiting) if row[1] or row[2] > LEAST_DEMAND]

    def refresh(self, board: DemandTable, shares: Mapping[str, float], now: float) -> None:
        """Divide the pool's slots anew from the latest reports."""
        self.refreshed = now
        demand = board.pool_demand(self.policy.name, self._source, self.own_demand())
        demand = _known_organisations(demand, shares)
        names = tuple(name for name in self.links if not self.health.of(name).ejected(now))
        total = len(names) * self.policy.slots
        self._others_used = board.slots_used(self.policy.name)
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
        """Return what routing needs to place an attempt."""
        may_exceed = now - self._exceeded_at > EXCEED_INTERVAL
        candidates = tuple(
            Candidate(name, link.executor.zone, len(link.attempts))
            for name, link in self.links.items()
        )
        return RoutingView(
            candidates,
            self._quotas,
            self._full,
            may_exceed,
            self._most_running,
            self._zone,
            avoid,
        )

    def record_start(self, executor: str, now: float) -> None:
        """Note an attempt, which may be one beyond this entry's own slots."""
        self.health.record_start(executor, now)
        if self._full and self.running_at(executor) >= self._quotas.get(executor, 0):
            self._exceeded_at = now

    def debt(self, organisation: str, shares: Mapping[str, float], now: float) -> float:
        """Return the fleet's slot use of an organisation over its share."""
        use = self._uses.get(organisation)
        used = self._others_used[organisation] + (use.used(now) if use else 0.0)
        return used / shares.get(organisation, 1.0)

    def slots_of(self, organisation: str) -> float:
        """Return the slots an organisation gets here while its queue drains."""
        if self._full:
            return self._targets.get(organisation, 0.0)
        return float(len(self.links) * self.policy.slots)


def _known_organisations(demand: PoolDemand, shares: Mapping[str, float]) -> PoolDemand:
    """Leave out organisations that this entry's configuration does not have (yet, or any more)."""
    return PoolDemand(
        {
            source: {
                organisation: count for organisation, count in row.items() if organisation in shares
            }
            for source, row in demand.by_source.items()
        }
    )
