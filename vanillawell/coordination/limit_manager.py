"""Hold this entry's part of every organisation's limit, by the ledgers in the store.

The dangerous moments are writes whose answer is lost. A write that takes units counts only once
confirmed. A write that gives units away may be applied at any time from when it is sent, even
after a read that did not show it; so the entry stops using those units before it sends, and
counts them as its own again only when a later state of the ledger proves that the write can no
longer be applied.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.coordination.ledger_copy import LedgerCopy
from vanillawell.exceptions import StoreError, StoreOutcomeUnknownError
from vanillawell.protocol.store import Compare, KeyValue, Put, Transaction
from vanillawell.state.limits import (
    Demand,
    Ledger,
    OrganisationLimit,
    min_retained_units,
    plan_ledger,
    usable_units,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable

    from vanillawell.config.settings import TimingSettings
    from vanillawell.coordination.membership import Membership
    from vanillawell.protocol.documents import StoreKeys
    from vanillawell.protocol.store import Store
    from vanillawell.state.demand_table import DemandTable
    from vanillawell.state.policy import OrganisationPolicy, Policy
    from vanillawell.telemetry import Telemetry

SCAN_INTERVAL = 1.0
"""Seconds between two looks at all organisations; organisations whose demand changed are looked at
at once."""

ORGANISATIONS_PER_WRITE = 40
"""Ledgers changed in one transaction; etcd allows 128 operations, and each takes three."""

FLEET_SETTLEMENTS_PER_SECOND = 150.0
"""Settlements a second that all entries together make at most, whatever the fleet's size."""

LONGEST_BACKOFF = 2.0
"""Seconds between two tries at a store that is down."""

SOFT_STEP = 0.25
"""Part of what is held that is left to other entries in one step."""

STALE_AFTER = 0.5
"""Seconds after which a copy that shows no free units is read anew while units are lacking."""


class LimitManager:
    """Own this entry's limit units."""

    def __init__(
        self,
        store: Store,
        keys: StoreKeys,
        membership: Membership,
        board: DemandTable,
        timing: TimingSettings,
        telemetry: Telemetry,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._keys = keys
        self._membership = membership
        self._board = board
        self._timing = timing
        self._telemetry = telemetry
        self._rng = rng
        membership.on_change(self._recompute_all)
        self._copies: dict[str, LedgerCopy] = {}
        self._organisations: dict[str, OrganisationPolicy] = {}
        self._dirty: set[str] = set()
        self._wake = anyio.Event()
        self._scanned = 0.0
        self._reachable = True
        """Whether the last call reached the store. Taken for granted before the first: an entry
        that has just started would else refuse its first callers and blame a store that answers."""

        self._stopping = False
        self._wanted: Callable[[str], int] = lambda organisation: 0
        self._charged: Callable[[str], int] = lambda organisation: 0
        self._granted: Callable[[], None] = lambda: None
        self._lost: Callable[[], None] = lambda: None

    @property
    def _holder(self) -> str:
        return self._membership.me.holder

    def connect(
        self,
        wanted: Callable[[str], int],
        charged: Callable[[str], int],
        granted: Callable[[], None],
        lost: Callable[[], None],
    ) -> None:
        """Say where demand is read, and who hears of new units and of a lost store."""
        self._lost = lost
        self._wanted = wanted
        self._charged = charged
        self._granted = granted

    def configure(self, policy: Policy) -> None:
        """Take over a configuration."""
        self._organisations = dict(policy.organisations)
        for organisation in self._organisations:
            self._copies.setdefault(organisation, LedgerCopy(Ledger(), -1, 0.0))
            self._recompute(organisation)
        self._dirty.update(self._organisations)
        self._wake.set()

    def usable(self, organisation: str, now: float) -> int:
        """Return the units of the organisation's limit that this entry may use now.

        The term is checked on every use: a process that was paused past it wakes without
        knowing, and others may have been given its units meanwhile.
        """
        if now >= self._membership.valid_until or organisation not in self._organisations:
            return 0
        return self._copies[organisation].usable

    def can_acquire(self) -> bool:
        """Tell whether units can be had from the store now."""
        return self._reachable

    def held(self, organisation: str) -> int:
        """Return the units that the ledger shows for this entry."""
        return self._copies[organisation].ledger.holders.get(self._holder, 0)

    def note_demand(self, organisation: str) -> None:
        """Note that the organisation's demand here has changed."""
        copy = self._copies.get(organisation)
        if copy is None:
            return
        wanted = self._wanted(organisation)
        copy.note_wanted(wanted, clock.read())
        if wanted > copy.usable or self._stopping:
            self._dirty.add(organisation)
            self._wake.set()

    def note_reports(self, organisations: Iterable[str]) -> None:
        """Note that other entries reported new demand of these organisations."""
        self._dirty.update(organisations)
        self._wake.set()

    async def run(self) -> None:
        """Keep the ledgers in step with demand until cancelled."""
        failures = 0
        while True:
            with anyio.move_on_after(SCAN_INTERVAL):
                await self._wake.wait()
            self._wake = anyio.Event()
            try:
                await self.settle()
                self._reachable = True
                failures = 0
            except StoreError:
                self._lose_store()
                self._dirty.update(self._organisations)
                failures += 1
                await anyio.sleep(self._backoff(failures))
            await anyio.sleep(self._pause() * self._rng.uniform(0.5, 1.0))

    def _pause(self) -> float:
        """Return the pause between two settlements, longer in a larger fleet."""
        entries = len(self._membership.members)
        return max(self._timing.ledger_interval, entries / FLEET_SETTLEMENTS_PER_SECOND)

    def _backoff(self, failures: int) -> float:
        """Return a growing, scattered pause, so that a store in trouble is not pressed harder."""
        longest = min(LONGEST_BACKOFF, self._timing.ledger_interval * 2.0**failures)
        return longest * self._rng.uniform(0.5, 1.0)

    def _lose_store(self) -> None:
        """Use all that is held while the store is away, since nothing can move."""
        self._reachable = False
        for organisation in self._organisations:
            self._copies[organisation].soft = None
            self._recompute(organisation)
        self._lost()

    async def settle(self) -> None:
        """Write what this entry wants changed in any ledger."""
        now = clock.read()
        if now - self._scanned >= SCAN_INTERVAL:
            self._dirty.update(self._organisations)
            self._scanned = now
        organisations = sorted(
            organisation for organisation in self._dirty if organisation in self._organisations
        )
        self._dirty.clear()
        for start in range(0, len(organisations), ORGANISATIONS_PER_WRITE):
            await self._settle_batch(organisations[start : start + ORGANISATIONS_PER_WRITE], now)

    async def release_all(self) -> None:
        """Return all units before a planned stop, when nothing of this entry runs any more."""
        self._stopping = True
        await self.settle_all()

    async def settle_all(self) -> None:
        """Settle every organisation now."""
        self._dirty.update(self._organisations)
        await self.settle()

    async def _settle_batch(self, organisations: list[str], now: float) -> None:
        await self._read(
            [organisation for organisation in organisations if self._must_read(organisation, now)]
        )
        plans = self._plans(organisations, now)
        giving = [
            organisation for organisation in plans if self._gives(organisation, plans[organisation])
        ]
        if giving:
            await self._read(giving)
            plans = self._plans(organisations, now)
        if plans:
            await self._write(plans)

    def _plans(self, organisations: list[str], now: float) -> dict[str, Ledger]:
        return {
            organisation: plan
            for organisation in organisations
            if (plan := self._plan(organisation, now)) is not None
        }

    def _gives(self, organisation: str, plan: Ledger) -> bool:
        """Tell whether a write gives units away; the store is then asked for a sign of life.

        In an outage every entry's next giving write would be left uncertain, and its units
        unused until the store is back. A read that fails first keeps them in use.
        """
        return plan.holders.get(self._holder, 0) < self.held(organisation)

    def _must_read(self, organisation: str, now: float) -> bool:
        copy = self._copies[organisation]
        if copy.revision < 0 or copy.cap is not None:
            return True
        lacking = (
            max(self._wanted(organisation), self._organisation_limit(organisation).even_share)
            > copy.usable
        )
        return lacking and now - copy.read_at > STALE_AFTER

    async def _read(self, organisations: list[str]) -> None:
        if not organisations:
            return
        keys = [self._keys.ledger(organisation) for organisation in organisations]
        result = await self._store.transact(Transaction(reads=keys, read_back=True))
        self._telemetry.store_calls.inc({"task": "ledger-read", "result": "ok"})
        self._take_over(organisations, result.values, clock.read())

    def _take_over(
        self, organisations: Iterable[str], values: dict[str, KeyValue], now: float
    ) -> None:
        for organisation in organisations:
            copy = self._copies[organisation]
            found = values.get(self._keys.ledger(organisation))
            copy.ledger = Ledger.from_bytes(found.value) if found else Ledger()
            copy.revision = found.mod_revision if found else 0
            copy.read_at = now
            if copy.revision > copy.fenced_at:
                copy.cap = None
            self._recompute(organisation)
        self._granted()

    def _plan(self, organisation: str, now: float) -> Ledger | None:
        copy = self._copies[organisation]
        ended = self._membership.ended(copy.ledger.holders) - {self._holder}
        copy.note_wanted(self._wanted(organisation), now)
        if self._stopping:
            planned = copy.ledger.with_units(self._holder, 0)
            return None if planned == copy.ledger else planned
        demand = self._demand(organisation)
        self._set_soft_bound(organisation, demand)
        plan = plan_ledger(
            copy.ledger, self._holder, self._organisation_limit(organisation), demand, ended
        )
        if plan is None and copy.cap is not None:
            return copy.ledger
        return plan

    def _organisation_limit(self, organisation: str) -> OrganisationLimit:
        policy = self._organisations[organisation]
        entries = len(self._membership.members)
        return OrganisationLimit(policy.limit_changes, policy.reserve, entries)

    def _demand(self, organisation: str) -> Demand:
        limit = self._organisation_limit(organisation)
        return Demand(
            wanted=self._wanted(organisation),
            charged=self._charged(organisation),
            recent_peak=self._copies[organisation].recent_peak,
            needed_elsewhere=self._board.units_needed(organisation, limit.floor),
        )

    async def _write(self, plans: dict[str, Ledger]) -> None:
        keys = {organisation: self._keys.ledger(organisation) for organisation in plans}
        transaction = Transaction(
            compares=[
                Compare(keys[organisation], self._copies[organisation].revision)
                for organisation in plans
            ],
            puts=[Put(keys[organisation], plan.to_bytes()) for organisation, plan in plans.items()],
            reads=list(keys.values()),
            read_back=True,
        )
        caps_before = {organisation: self._copies[organisation].cap for organisation in plans}
        self._stop_using(plans)
        try:
            result = await self._store.transact(transaction)
        except StoreOutcomeUnknownError:
            self._telemetry.store_calls.inc({"task": "ledger-write", "result": "unknown"})
            raise
        except StoreError:
            self._restore_caps(caps_before)
            raise
        outcome = "ok" if result.succeeded else "conflict"
        self._telemetry.store_calls.inc({"task": "ledger-write", "result": outcome})
        self._take_over(plans, result.values, clock.read())
        if not result.succeeded:
            self._dirty.update(plans)
            self._wake.set()

    def _stop_using(self, plans: dict[str, Ledger]) -> None:
        """Stop using units that a write gives away, before it is sent."""
        for organisation, plan in plans.items():
            copy = self._copies[organisation]
            units = plan.holders.get(self._holder, 0)
            if copy.cap is not None or units < copy.ledger.holders.get(self._holder, 0):
                copy.cap = units if copy.cap is None else min(units, copy.cap)
                copy.fenced_at = copy.revision
                self._recompute(organisation)

    def _restore_caps(self, caps: dict[str, int | None]) -> None:
        """Undo `_stop_using` for a write that certainly never reached the store."""
        for organisation, cap in caps.items():
            self._copies[organisation].cap = cap
            self._recompute(organisation)

    def _recompute_all(self) -> None:
        """Follow a change of members, which may be this entry's own loss of its holder name."""
        for organisation in self._organisations:
            self._recompute(organisation)

    def _recompute(self, organisation: str) -> None:
        copy = self._copies[organisation]
        changes = self._organisations[organisation].limit_changes
        units = usable_units(copy.ledger, self._holder, changes)
        bounds = [bound for bound in (copy.cap, copy.soft) if bound is not None]
        copy.usable = min([units, *bounds])
        self._telemetry.units_held.set({"organisation": organisation}, units)

    def _set_soft_bound(self, organisation: str, demand: Demand) -> None:
        """Leave units to other entries step by step while the fleet wants more than the limit.

        Without this an entry whose queue is never empty would hold its units for ever, and the
        same organisation's callers in another zone would wait until their deadlines.
        """
        copy = self._copies[organisation]
        limit = self._organisation_limit(organisation)
        held = self.held(organisation)
        least = min_retained_units(limit, demand)
        contended = demand.wanted + demand.needed_elsewhere > limit.current.limit
        step = max(1, int(held * SOFT_STEP))
        copy.soft = max(least, held - step) if contended and self._reachable else None
        self._recompute(organisation)
