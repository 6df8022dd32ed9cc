"""Divide each organisation's upper limit between entries so that the sum never exceeds it.

Each organisation has one ledger in the store that holds the units of each holder. It is changed
only by compare-and-swap, so the sum of units stays at or below the limit. An entry starts a request
only within its own units and needs no other process for that.

The design covers these failures: a response that is lost after a write took effect, a write that is
delayed and applied later, a holder that ends or is paused while its requests are still running at
backend servers, and a limit that operators lower while its units are granted.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import orjson

if TYPE_CHECKING:
    from collections.abc import Mapping, Set


@dataclass(frozen=True, slots=True)
class Ledger:
    """Units of one organisation's limit by holder, as stored."""

    limit: int = 0
    """Upper limit under which these units were granted."""

    version: int = 0
    """Configuration version that `limit` was taken from; never decreases."""

    holders: Mapping[str, int] = field(default_factory=dict)

    @property
    def granted(self) -> int:
        """Return the sum of all granted units."""
        return sum(self.holders.values())

    @property
    def free(self) -> int:
        """Return the units that are not granted; negative after the limit was lowered."""
        return self.limit - self.granted

    def to_bytes(self) -> bytes:
        """Serialise the document."""
        return orjson.dumps(
            {"limit": self.limit, "version": self.version, "holders": dict(self.holders)}
        )

    @classmethod
    def from_bytes(cls, data: bytes) -> Ledger:
        """Parse the document."""
        return cls(**orjson.loads(data))

    def with_units(self, holder: str, units: int) -> Ledger:
        """Return a copy in which `holder` has `units`; zero removes the holder."""
        others = {name: count for name, count in self.holders.items() if name != holder}
        return replace(self, holders={**others, holder: units} if units > 0 else others)


@dataclass(frozen=True, slots=True)
class LimitChange:
    """A change of an organisation's limit and the configuration version that made it."""

    version: int
    limit: int


@dataclass(frozen=True, slots=True)
class Demand:
    """Demand of an entry for one organisation's limit."""

    wanted: int
    """Requests that are running, still charged or queued here."""

    charged: int
    """Requests that are running, or abandoned and possibly still running."""

    recent_peak: int
    """Maximum of `wanted` over the last seconds."""

    needed_elsewhere: int = 0
    """Units that all other entries need, as last reported."""


@dataclass(frozen=True, slots=True)
class OrganisationLimit:
    """The limit in force for an organisation, from the configuration applied by this entry."""

    changes: tuple[LimitChange, ...]
    """Recent changes, oldest first; the last one is in force."""

    reserve: float
    """Part of the limit that is always divided among all entries."""

    entries: int
    """Entries among which the reserve is divided."""

    @property
    def current(self) -> LimitChange:
        """Return the change that is in force."""
        return self.changes[-1]

    @property
    def even_share(self) -> int:
        """Return the units that an idle entry holds while no other entry lacks any."""
        return self.current.limit // max(1, self.entries)

    @property
    def floor(self) -> int:
        """Return the units an idle entry always keeps, so that an isolated zone can serve."""
        return math.floor(self.current.limit * self.reserve / max(1, self.entries))


def usable_units(ledger: Ledger, holder: str, changes: tuple[LimitChange, ...]) -> int:
    """Return the units that a holder may use, given a possibly outdated copy of the ledger.

    A lowered limit takes effect by starting fewer requests: every holder scales its units by the
    same ratio and rounds down, so the sum obeys the new limit before any unit is released. If a
    limit was raised and lowered again, other holders may have taken units that this copy does not
    show. Scaling by the highest limit since the copy was made keeps the sum within the limit in
    that case.
    """
    held = ledger.holders.get(holder, 0)
    since = [change.limit for change in changes if change.version > ledger.version]
    base = max(ledger.limit, ledger.granted, *since, 1)
    return min(held, held * changes[-1].limit // base)


def plan_ledger(
    ledger: Ledger,
    holder: str,
    organisation: OrganisationLimit,
    demand: Demand,
    terminated: Set[str],
) -> Ledger | None:
    """Return the ledger that this entry is to write, or None if no change is needed.

    `terminated` contains holders that are confirmed to have ended, together with all requests they
    may have started.
    """
    planned = _drop_terminated(_apply_limit(ledger, organisation), terminated)
    held = planned.holders.get(holder, 0)
    planned = planned.with_units(holder, _next_units(planned, held, organisation, demand))
    return None if planned == ledger else planned


def _apply_limit(ledger: Ledger, organisation: OrganisationLimit) -> Ledger:
    """Apply a newer limit; an entry with an older configuration changes nothing."""
    if organisation.current.version <= ledger.version:
        return ledger
    return replace(ledger, limit=organisation.current.limit, version=organisation.current.version)


def _drop_terminated(ledger: Ledger, terminated: Set[str]) -> Ledger:
    remaining = {name: units for name, units in ledger.holders.items() if name not in terminated}
    return replace(ledger, holders=remaining)


def target_units(organisation: OrganisationLimit, demand: Demand) -> int:
    """Return the units that this entry should hold eventually.

    While the total demand exceeds the limit, each entry's part is proportional to its demand, so
    that a zone that was first does not starve the others.
    """
    wanted = demand.wanted
    total = wanted + demand.needed_elsewhere
    limit = organisation.current.limit
    if total > limit and wanted:
        wanted = math.ceil(limit * wanted / total)
    return max(wanted, min(organisation.floor, limit))


def min_retained_units(organisation: OrganisationLimit, demand: Demand) -> int:
    """Return the units that this entry keeps even if other entries lack some.

    The value is rounded down, whereas `target_units` rounds up. If both were rounded up, four
    entries could keep all of a limit of eight, two each, while two more entries have none until the
    deadlines of their requests pass.
    """
    wanted = demand.wanted
    total = wanted + demand.needed_elsewhere
    limit = organisation.current.limit
    if total > limit and wanted:
        wanted = max(1, limit * wanted // total)
    return max(wanted, min(organisation.floor, limit))


def _next_units(ledger: Ledger, held: int, organisation: OrganisationLimit, demand: Demand) -> int:
    if ledger.free < 0:
        return max(held - _reduction_share(ledger, held), min(held, demand.charged))
    target = target_units(organisation, demand)
    if target > held:
        return held + min(target - held, ledger.free)
    if _shortfall_elsewhere(held, organisation, demand) > 0:
        return _units_after_yielding(held, organisation, demand)
    return _units_without_shortfall(ledger, held, target, organisation, demand)


def _reduction_share(ledger: Ledger, held: int) -> int:
    """Return this holder's part of the units granted beyond a lowered limit, rounded up."""
    return math.ceil(held * -ledger.free / ledger.granted)


def _shortfall_elsewhere(held: int, organisation: OrganisationLimit, demand: Demand) -> int:
    """Return the units that others need and cannot get while `held` units stay here."""
    return demand.needed_elsewhere - (organisation.current.limit - held)


def _units_after_yielding(held: int, organisation: OrganisationLimit, demand: Demand) -> int:
    """Return the units left after releasing unused units that others lack."""
    idle = held - max(min_retained_units(organisation, demand), demand.charged)
    return held - max(0, min(idle, _shortfall_elsewhere(held, organisation, demand)))


def _units_without_shortfall(
    ledger: Ledger, held: int, target: int, organisation: OrganisationLimit, demand: Demand
) -> int:
    """Return the units to hold while no other entry lacks any: at least an even share.

    An idle entry holds its share too, since free units in the ledger cannot be used by any entry
    while the store is down or its zone is isolated. Units above the share are released some seconds
    after a peak.
    """
    wanted = max(target, demand.recent_peak, organisation.even_share)
    if held > wanted:
        return wanted
    affordable = organisation.current.limit - demand.needed_elsewhere
    more = min(wanted, affordable) - held
    return held + max(0, min(more, ledger.free))
