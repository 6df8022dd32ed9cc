"""Acquire and release this entry's units of organisations' limits, using ledgers in the store.

Writes whose answer is lost need care. A write that acquires units counts only once confirmed. A
write that releases units may be applied at any time after it was sent, even after a read that does
not show it. The entry therefore stops using those units before it sends the write, and uses them
again only when a later revision of the ledger proves that the write can no longer be applied.
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
"""Seconds between two checks of all organisations; those whose demand changed are checked
immediately."""

MAX_LEDGERS_PER_TRANSACTION = 40
"""Maximum ledgers in one transaction; etcd allows 128 operations, and each ledger takes three."""

MAX_FLEET_RECONCILIATIONS_PER_SECOND = 150.0
"""Maximum reconciliations per second, summed over all entries of the fleet."""

MAX_BACKOFF = 2.0
"""Maximum seconds between two attempts to reach a store that is down."""

RELEASE_STEP = 0.25
"""Fraction of the held units that is released to other entries in one step."""

MAX_COPY_AGE = 0.5
"""Seconds after which a ledger copy is read again while this entry lacks units."""


class LimitManager:
    """Manage this entry's limit units."""

    def __init__(
        self,
        store: Store,
        keys: StoreKeys,
        membership: Membership,
        demand_table: DemandTable,
        timing: TimingSettings,
        telemetry: Telemetry,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._keys = keys
        self._membership = membership
        self._demand_table = demand_table
        self._timing = timing
        self._telemetry = telemetry
        self._rng = rng
        membership.on_change(self._recompute_all)
        self._copies: dict[str, LedgerCopy] = {}
        self._organisations: dict[str, OrganisationPolicy] = {}
        self._dirty: set[str] = set()
        self._wake = anyio.Event()
        self._scanned_at = 0.0
        self._reachable = True
        """Whether the last call reached the store. Initially true: otherwise an entry that has just
        started would refuse its first requests as if the store were unreachable."""

        self._stopping = False
        self._wanted: Callable[[str], int] = lambda organisation: 0
        self._charged: Callable[[str], int] = lambda organisation: 0
        self._on_granted: Callable[[], None] = lambda: None
        self._on_store_lost: Callable[[], None] = lambda: None

    @property
    def _holder(self) -> str:
        return self._membership.me.holder

    def connect(
        self,
        wanted: Callable[[str], int],
        charged: Callable[[str], int],
        on_granted: Callable[[], None],
        on_store_lost: Callable[[], None],
    ) -> None:
        """Set the sources of demand and the callbacks for new units and for loss of the store."""
        self._on_store_lost = on_store_lost
        self._wanted = wanted
        self._charged = charged
        self._on_granted = on_granted

    def configure(self, policy: Policy) -> None:
        """Apply a configuration."""
        self._organisations = dict(policy.organisations)
        for organisation in self._organisations:
            self._copies.setdefault(organisation, LedgerCopy(Ledger(), -1, 0.0))
            self._recompute(organisation)
        self._dirty.update(self._organisations)
        self._wake.set()

    def usable(self, organisation: str, now: float) -> int:
        """Return the units of the organisation's limit that this entry may use now.

        The term is checked on every call: a process that was paused beyond its term is not
        notified, and its units may have been given to other entries in the meantime.
        """
        if now >= self._membership.valid_until or organisation not in self._organisations:
            return 0
        return self._copies[organisation].usable

    def can_acquire(self) -> bool:
        """Return whether units can be acquired from the store now."""
        return self._reachable

    def held(self, organisation: str) -> int:
        """Return the units that the ledger shows for this entry."""
        return self._copies[organisation].ledger.holders.get(self._holder, 0)

    def handle_demand_change(self, organisation: str) -> None:
        """Handle a change of the organisation's demand on this entry."""
        copy = self._copies.get(organisation)
        if copy is None:
            return
        wanted = self._wanted(organisation)
        copy.record_demand(wanted, clock.read())
        if wanted > copy.usable or self._stopping:
            self._dirty.add(organisation)
            self._wake.set()

    def handle_demand_reports(self, organisations: Iterable[str]) -> None:
        """Handle reports of other entries with new demand of these organisations."""
        self._dirty.update(organisations)
        self._wake.set()

    async def run(self) -> None:
        """Reconcile the ledgers with demand until cancelled."""
        failures = 0
        while True:
            with anyio.move_on_after(SCAN_INTERVAL):
                await self._wake.wait()
            self._wake = anyio.Event()
            try:
                await self.reconcile()
                self._reachable = True
                failures = 0
            except StoreError:
                self._handle_store_loss()
                self._dirty.update(self._organisations)
                failures += 1
                await anyio.sleep(self._backoff(failures))
            await anyio.sleep(self._reconcile_interval() * self._rng.uniform(0.5, 1.0))

    def _reconcile_interval(self) -> float:
        """Return the interval between reconciliations, which grows with the number of entries."""
        entries = len(self._membership.members)
        return max(self._timing.ledger_interval, entries / MAX_FLEET_RECONCILIATIONS_PER_SECOND)

    def _backoff(self, failures: int) -> float:
        """Return a retry delay with exponential backoff and jitter, to limit load on the store."""
        max_delay = min(MAX_BACKOFF, self._timing.ledger_interval * 2.0**failures)
        return max_delay * self._rng.uniform(0.5, 1.0)

    def _handle_store_loss(self) -> None:
        """Use all held units while the store is unreachable, since none can be transferred."""
        self._reachable = False
        for organisation in self._organisations:
            self._copies[organisation].contention_bound = None
            self._recompute(organisation)
        self._on_store_lost()

    async def reconcile(self) -> None:
        """Write the changes that this entry needs in ledgers with changed demand."""
        now = clock.read()
        if now - self._scanned_at >= SCAN_INTERVAL:
            self._dirty.update(self._organisations)
            self._scanned_at = now
        organisations = sorted(
            organisation for organisation in self._dirty if organisation in self._organisations
        )
        self._dirty.clear()
        for start in range(0, len(organisations), MAX_LEDGERS_PER_TRANSACTION):
            await self._reconcile_batch(
                organisations[start : start + MAX_LEDGERS_PER_TRANSACTION], now
            )

    async def release_all(self) -> None:
        """Release all units before a planned stop, once no request runs on this entry."""
        self._stopping = True
        await self.reconcile_all()

    async def reconcile_all(self) -> None:
        """Reconcile the ledgers of all organisations now."""
        self._dirty.update(self._organisations)
        await self.reconcile()

    async def _reconcile_batch(self, organisations: list[str], now: float) -> None:
        await self._read(
            [organisation for organisation in organisations if self._must_read(organisation, now)]
        )
        plans = self._plans(organisations, now)
        releasing = [
            organisation
            for organisation in plans
            if self._releases_units(organisation, plans[organisation])
        ]
        if releasing:
            await self._read(releasing)
            plans = self._plans(organisations, now)
        if plans:
            await self._write(plans)

    def _plans(self, organisations: list[str], now: float) -> dict[str, Ledger]:
        return {
            organisation: plan
            for organisation in organisations
            if (plan := self._plan(organisation, now)) is not None
        }

    def _releases_units(self, organisation: str, plan: Ledger) -> bool:
        """Return whether a write releases units; if so, the ledger is read again before the write.

        In an outage the outcome of every entry's next releasing write would be unknown, and the
        units would be unused until the store recovers. If a read fails first, they stay in use.
        """
        return plan.holders.get(self._holder, 0) < self.held(organisation)

    def _must_read(self, organisation: str, now: float) -> bool:
        copy = self._copies[organisation]
        if copy.revision < 0 or copy.unconfirmed_bound is not None:
            return True
        lacking = (
            max(self._wanted(organisation), self._organisation_limit(organisation).even_share)
            > copy.usable
        )
        return lacking and now - copy.read_at > MAX_COPY_AGE

    async def _read(self, organisations: list[str]) -> None:
        if not organisations:
            return
        keys = [self._keys.ledger(organisation) for organisation in organisations]
        result = await self._store.transact(Transaction(reads=keys, read_back=True))
        self._telemetry.store_calls.inc({"task": "ledger-read", "result": "ok"})
        self._apply_ledgers(organisations, result.values, clock.read())

    def _apply_ledgers(
        self, organisations: Iterable[str], values: dict[str, KeyValue], now: float
    ) -> None:
        for organisation in organisations:
            copy = self._copies[organisation]
            stored = values.get(self._keys.ledger(organisation))
            copy.ledger = Ledger.from_bytes(stored.value) if stored else Ledger()
            copy.revision = stored.mod_revision if stored else 0
            copy.read_at = now
            if copy.revision > copy.fenced_revision:
                copy.unconfirmed_bound = None
            self._recompute(organisation)
        self._on_granted()

    def _plan(self, organisation: str, now: float) -> Ledger | None:
        copy = self._copies[organisation]
        terminated = self._membership.ended(copy.ledger.holders) - {self._holder}
        copy.record_demand(self._wanted(organisation), now)
        if self._stopping:
            planned = copy.ledger.with_units(self._holder, 0)
            return None if planned == copy.ledger else planned
        demand = self._demand(organisation)
        self._set_contention_bound(organisation, demand)
        plan = plan_ledger(
            copy.ledger, self._holder, self._organisation_limit(organisation), demand, terminated
        )
        if plan is None and copy.unconfirmed_bound is not None:
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
            needed_elsewhere=self._demand_table.units_needed(organisation, limit.floor),
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
        bounds_before = {
            organisation: self._copies[organisation].unconfirmed_bound for organisation in plans
        }
        self._stop_using(plans)
        try:
            result = await self._store.transact(transaction)
        except StoreOutcomeUnknownError:
            self._telemetry.store_calls.inc({"task": "ledger-write", "result": "unknown"})
            raise
        except StoreError:
            self._restore_bounds(bounds_before)
            raise
        outcome = "ok" if result.succeeded else "conflict"
        self._telemetry.store_calls.inc({"task": "ledger-write", "result": outcome})
        self._apply_ledgers(plans, result.values, clock.read())
        if not result.succeeded:
            self._dirty.update(plans)
            self._wake.set()

    def _stop_using(self, plans: dict[str, Ledger]) -> None:
        """Stop using the units that a write releases, before it is sent."""
        for organisation, plan in plans.items():
            copy = self._copies[organisation]
            units = plan.holders.get(self._holder, 0)
            if copy.unconfirmed_bound is not None or units < copy.ledger.holders.get(
                self._holder, 0
            ):
                copy.unconfirmed_bound = (
                    units if copy.unconfirmed_bound is None else min(units, copy.unconfirmed_bound)
                )
                copy.fenced_revision = copy.revision
                self._recompute(organisation)

    def _restore_bounds(self, bounds_by_organisation: dict[str, int | None]) -> None:
        """Undo `_stop_using` for a write that certainly did not reach the store."""
        for organisation, unconfirmed_bound in bounds_by_organisation.items():
            self._copies[organisation].unconfirmed_bound = unconfirmed_bound
            self._recompute(organisation)

    def _recompute_all(self) -> None:
        """Recompute usable units after a change of members or of this entry's own holder name."""
        for organisation in self._organisations:
            self._recompute(organisation)

    def _recompute(self, organisation: str) -> None:
        copy = self._copies[organisation]
        changes = self._organisations[organisation].limit_changes
        units = usable_units(copy.ledger, self._holder, changes)
        bounds = [
            bound for bound in (copy.unconfirmed_bound, copy.contention_bound) if bound is not None
        ]
        copy.usable = min([units, *bounds])
        self._telemetry.units_held.set({"organisation": organisation}, units)

    def _set_contention_bound(self, organisation: str, demand: Demand) -> None:
        """Release units step by step while the fleet's demand exceeds the limit.

        Otherwise an entry whose queue is never empty would keep its units indefinitely, and callers
        of the same organisation in another zone would wait until their deadlines.
        """
        copy = self._copies[organisation]
        limit = self._organisation_limit(organisation)
        held = self.held(organisation)
        minimum = min_retained_units(limit, demand)
        contended = demand.wanted + demand.needed_elsewhere > limit.current.limit
        step = max(1, int(held * RELEASE_STEP))
        copy.contention_bound = max(minimum, held - step) if contended and self._reachable else None
        self._recompute(organisation)
