"""Divide each organisation's upper limit between entries so that the sum never exceeds it.

An organisation has one ledger in the store: how many units each holder may use. It is changed only
by compare-and-swap, so that the sum of units stays at or below the limit. An entry starts a
request
only within its own units and asks nobody.

The failures this guards against: an answer lost after a write took effect, a write that is
delayed and applied later, a holder that dies or is paused with requests still running at backend
servers, and a limit that operators lower while units are out.
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
    """The upper limit that these units were granted under."""

    version: int = 0
    """Configuration version that `limit` was taken from; never falls."""

    holders: Mapping[str, int] = field(default_factory=dict)

    @property
    def granted(self) -> int:
        """Sum all units that are out."""
        return sum(self.holders.values())

    @property
    def free(self) -> int:
        """Count the units that nobody holds; negative after the limit was lowered."""
        return self.limit - self.granted

    def to_bytes(self) -> bytes:
        """Write the document."""
        return orjson.dumps(
            {"limit": self.limit, "version": self.version, "holders": dict(self.holders)}
        )

    @classmethod
    def from_bytes(cls, data: bytes) -> Ledger:
        """Read the document."""
        return cls(**orjson.loads(data))

    def with_units(self, holder: str, units: int) -> Ledger:
        """Return a copy in which `holder` has `units`; zero removes it."""
        others = {name: count for name, count in self.holders.items() if name != holder}
        return replace(self, holders={**others, holder: units} if units > 0 else others)


@dataclass(frozen=True, slots=True)
class LimitChange:
    """One change of an organisation's limit and the configuration version that made it."""

    version: int
    limit: int


@dataclass(frozen=True, slots=True)
class Demand:
    """What an entry needs of one organisation's limit now."""

    wanted: int
    """Requests running, still charged or queued here."""

    charged: int
    """Requests running, or given up on and perhaps still running."""

    recent_peak: int
    """Largest `wanted` of the last seconds."""

    needed_elsewhere: int = 0
    """Units that all other entries need, as they last reported."""


@dataclass(frozen=True, slots=True)
class OrganisationLimit:
    """The limit in force for an organisation, from the configuration this entry has applied."""

    changes: tuple[LimitChange, ...]
    """Recent changes, oldest first; the last one is in force."""

    reserve: float
    """Part of the limit that stays spread over all entries."""

    entries: int
    """Entries that the reserve is spread over."""

    @property
    def current(self) -> LimitChange:
        """Return the change that is in force."""
        return self.changes[-1]

    @property
    def even_share(self) -> int:
        """Return the units an idle entry holds while no other entry lacks them."""
        return self.current.limit // max(1, self.entries)

    @property
    def floor(self) -> int:
        """Return the units an idle entry keeps, so that a cut-off zone can serve something."""
        return math.floor(self.current.limit * self.reserve / max(1, self.entries))


def usable_units(ledger: Ledger, holder: str, changes: tuple[LimitChange, ...]) -> int:
    """Return the units a holder may use, given a copy of the ledger that may be old.

    Lowering a limit takes effect by not starting: every holder scales its part by the same
    ratio and rounds down, so the sum obeys the new limit before any unit is given back. Under
    a limit that was raised and lowered again, others may have taken units that this copy does
    not show; scaling by the highest limit since the copy keeps the sum right all the same.
    """
    held = ledger.holders.get(holder, 0)
    since = [change.limit for change in changes if change.version > ledger.version]
    base = max(ledger.limit, ledger.granted, *since, 1)
    return min(held, held * changes[-1].limit // base)


def plan_ledger(
    ledger: Ledger, holder: str, organisation: OrganisationLimit, demand: Demand, ended: Set[str]
) -> Ledger | None:
    """Return the ledger this entry wants to write, or None if it is content.

    `ended` names holders that have provably ended together with all they may have started.
    """
    planned = _drop_ended(_apply_limit(ledger, organisation), ended)
    held = planned.holders.get(holder, 0)
    planned = planned.with_units(holder, _target(planned, held, organisation, demand))
    return None if planned == ledger else planned


def _apply_limit(ledger: Ledger, organisation: OrganisationLimit) -> Ledger:
    """Take over a newer limit; an entry with an older configuration changes nothing."""
    if organisation.current.version <= ledger.version:
        return ledger
    return replace(ledger, limit=organisation.current.limit, version=organisation.current.version)


def _drop_ended(ledger: Ledger, ended: Set[str]) -> Ledger:
    alive = {name: units for name, units in ledger.holders.items() if name not in ended}
    return replace(ledger, holders=alive)


def goal_units(organisation: OrganisationLimit, demand: Demand) -> int:
    """Return the units this entry should hold in the end.

    While the fleet wants more than the limit, each entry's part follows its demand, so that no
    zone starves another by having been first.
    """
    wanted = demand.wanted
    total = wanted + demand.needed_elsewhere
    limit = organisation.current.limit
    if total > limit and wanted:
        wanted = math.ceil(limit * wanted / total)
    return max(wanted, min(organisation.floor, limit))


def min_retained_units(organisation: OrganisationLimit, demand: Demand) -> int:
    """Return the units below which this entry gives nothing to entries that lack some.

    Rounded down, where `goal_units` rounds up: with both rounded up, four entries could keep all
    of a limit of eight, two each, while two more wait with none until their deadlines.
    """
    wanted = demand.wanted
    total = wanted + demand.needed_elsewhere
    limit = organisation.current.limit
    if total > limit and wanted:
        wanted = max(1, limit * wanted // total)
    return max(wanted, min(organisation.floor, limit))


def _target(ledger: Ledger, held: int, organisation: OrganisationLimit, demand: Demand) -> int:
    if ledger.free < 0:
        return max(held - _fair_cut(ledger, held), min(held, demand.charged))
    goal = goal_units(organisation, demand)
    if goal > held:
        return held + min(goal - held, ledger.free)
    if _lacking(held, organisation, demand) > 0:
        return _after_giving(held, organisation, demand)
    return _spread(ledger, held, goal, organisation, demand)


def _fair_cut(ledger: Ledger, held: int) -> int:
    """Return this holder's part of the units granted beyond a lowered limit, rounded up."""
    return math.ceil(held * -ledger.free / ledger.granted)


def _lacking(held: int, organisation: OrganisationLimit, demand: Demand) -> int:
    """Return the units that others need and cannot have while `held` stay here."""
    return demand.needed_elsewhere - (organisation.current.limit - held)


def _after_giving(held: int, organisation: OrganisationLimit, demand: Demand) -> int:
    """Give at once what others lack, as far as it is not in use here."""
    idle = held - max(min_retained_units(organisation, demand), demand.charged)
    return held - max(0, min(idle, _lacking(held, organisation, demand)))


def _spread(
    ledger: Ledger, held: int, goal: int, organisation: OrganisationLimit, demand: Demand
) -> int:
    """Hold an even part while nobody lacks it, and return what is beyond after some seconds.

    Units that nobody holds are of no use to anyone while the store is down or a zone is cut off.
    """
    wanted = max(goal, demand.recent_peak, organisation.even_share)
    if held > wanted:
        return wanted
    affordable = organisation.current.limit - demand.needed_elsewhere
    more = min(wanted, affordable) - held
    return held + max(0, min(more, ledger.free))
