"""Register this entry in the store and know which other entries there are.

Presence stands under a lease that the entry renews. What may be concluded from a missing
presence is little: the entry may be cut off from the store and go on serving with the limit
units it holds. So a missing holder counts as ended only with proof, or after the term for which
it may use its units alone; see `HolderLiveness`.
"""

from __future__ import annotations

import itertools
import logging
import uuid
from dataclasses import replace
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.exceptions import StoreError
from vanillawell.protocol.documents import Presence
from vanillawell.protocol.platform_calls import PlatformUnavailableError
from vanillawell.protocol.store import Put, Transaction

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from vanillawell.config.settings import StoreSettings, TimingSettings
    from vanillawell.protocol.documents import StoreKeys
    from vanillawell.protocol.platform_calls import PlatformCalls
    from vanillawell.protocol.store import Store
    from vanillawell.telemetry import Telemetry

RETRY_PAUSE = 0.6
"""Seconds between two tries to reach a store that is down."""

ENTRIES_PER_SECOND = 4.0
"""Bounds how often the list is read as the fleet grows: its size over this, in seconds."""

PROOF_INTERVAL = 1.0
"""Seconds between two questions to the platform about missing holders."""

WATCHERS_PER_ZONE = 2
"""Entries of each zone that follow the store for the others."""


class HolderLiveness:
    """Decide when a holder of limit units, and all it may have started, has ended.

    A holder that is merely cut off goes on using its units until its own term runs out. If its
    units were given away before, an organisation would exceed its limit; one would notice only by
    counting at the backend servers. Proof of an earlier end is a newer run of the same instance,
    since the old process must have ended before the new one could bind its address; or the
    platform's word that the instance is gone for good.
    """

    def __init__(self, timing: TimingSettings) -> None:
        drift = 1 + timing.clock_drift
        self._after_proof = timing.longest_request * drift
        self._without_proof = (timing.holding_term + timing.longest_request) * drift
        self._missing_since: dict[str, float] = {}
        self._observed_at = 0.0
        self._present: set[str] = set()
        self._instances: set[str] = set()
        self._gone: set[str] = set()

    def observe(self, present: Iterable[Presence], now: float) -> None:
        """Take over a list of presence whose reading began at `now`."""
        members = list(present)
        self._observed_at = now
        self._present = {member.holder for member in members}
        self._instances = {member.instance for member in members}
        for holder in self._present:
            self._missing_since.pop(holder, None)

    def ended(self, holders: Iterable[str]) -> set[str]:
        """Return those holders whose units are provably out of use.

        Time counts only up to the last list: a holder that registered again since then, within
        its term, is alive although this entry has not heard of it.
        """
        missing = [holder for holder in holders if holder not in self._present]
        for holder in missing:
            self._missing_since.setdefault(holder, self._observed_at)
        return {holder for holder in missing if self._observed_at >= self._end_of(holder)}

    def unproven(self) -> set[str]:
        """Return the instances of missing holders whose end nothing has proved yet."""
        instances = {holder.partition("/")[0] for holder in self._missing_since}
        return instances - self._instances - self._gone

    def unaccounted(self, holders: Iterable[str]) -> set[str]:
        """Return those missing holders that may still send requests."""
        missing = set(holders) - self._present
        return missing - self.ended(missing)

    def note_gone(self, instance: str, now: float) -> None:
        """Take the platform's word that an instance is gone; what it sent may still run."""
        self._gone.add(instance)
        for holder in self._missing_since:
            if holder.partition("/")[0] == instance:
                self._missing_since[holder] = now

    def _end_of(self, holder: str) -> float:
        instance = holder.partition("/")[0]
        proved = instance in self._instances or instance in self._gone
        wait = self._after_proof if proved else self._without_proof
        return self._missing_since[holder] + wait


class Membership:
    """Own this entry's presence and the list of all others'."""

    def __init__(
        self,
        store: Store,
        keys: StoreKeys,
        me: Presence,
        settings: StoreSettings,
        timing: TimingSettings,
        telemetry: Telemetry,
        platform: PlatformCalls | None = None,
    ) -> None:
        self._platform = platform
        self._store = store
        self._keys = keys
        self._me = me
        self._settings = settings
        self._timing = timing
        self._telemetry = telemetry
        self._lease = 0
        self._members: dict[str, Presence] = {me.instance: me}
        self._ends = HolderLiveness(timing)
        self._valid_until = 0.0
        self._observed = False
        self._listeners: list[Callable[[], None]] = []

    @property
    def me(self) -> Presence:
        """Return this entry's own presence."""
        return self._me

    @property
    def lease(self) -> int:
        """Return the lease of this entry's presence; 0 while it has none."""
        return self._lease

    @property
    def members(self) -> dict[str, Presence]:
        """Return all known entries by instance, this one included."""
        return self._members

    @property
    def valid_until(self) -> float:
        """Return until when this entry may use its limit units without the store."""
        return self._valid_until

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of the list."""
        self._listeners.append(listener)

    def in_zone(self, zone: str) -> list[Presence]:
        """Return the entries of a zone in the order of their names."""
        return sorted(
            (member for member in self._members.values() if member.zone == zone),
            key=lambda member: member.instance,
        )

    def zones(self) -> dict[str, list[Presence]]:
        """Return the entries of each zone in the order of their names."""
        names = sorted({member.zone for member in self._members.values()})
        return {zone: self.in_zone(zone) for zone in names}

    def is_watcher(self) -> bool:
        """Tell whether this entry is one of its zone's first."""
        first = itertools.islice(self.in_zone(self._me.zone), WATCHERS_PER_ZONE)
        return self._me in first

    def ended(self, holders: Iterable[str]) -> set[str]:
        """Return those holders of limit units that have provably ended."""
        return self._ends.ended(holders) if self._observed else set()

    def unaccounted(self, holders: Iterable[str]) -> set[str]:
        """Return those holders of limit units that are missing and may still send requests.

        An entry that is cut off from the store drops out of the list while it goes on serving
        with the units it holds; one without units cannot send anything.
        """
        return self._ends.unaccounted(set(holders) - {self._me.holder})

    def learn(self, member: Presence) -> None:
        """Take over an entry that introduced itself, for times when the store is down."""
        if member.instance not in self._members:
            self._members[member.instance] = member
            self._notify()

    async def run(self) -> None:
        """Keep presence and list up to date until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._keep_presence)
            tasks.start_soon(self._keep_list)
            if self._platform:
                tasks.start_soon(self._look_for_proof, self._platform)

    async def leave(self) -> None:
        """End the lease, so that others see at once that this entry has gone."""
        if self._lease:
            await self._store.revoke(self._lease)

    async def _keep_presence(self) -> None:
        while True:
            try:
                await self._renew()
                self._telemetry.log_state("store", "reachable")
                await anyio.sleep(self._settings.lease_ttl / 3)
            except StoreError as error:
                self._telemetry.log_state("store", "unreachable", logging.WARNING)
                logging.getLogger(__name__).debug("store: %s", error)
                await anyio.sleep(RETRY_PAUSE)

    async def _renew(self) -> None:
        """Renew the lease, or register anew if it has ended.

        The term counts from before the call was sent: the store may have renewed the lease at
        any time after that, and others count from its end.
        """
        sent = clock.read()
        if self._valid_until and sent >= self._valid_until:
            self._drop_identity()
        if not self._lease or not await self._store.keep_alive(self._lease):
            self._lease = 0
            lease = await self._store.grant_lease(self._settings.lease_ttl)
            put = Put(self._keys.presence(self._me.instance), self._me.to_bytes(), lease)
            await self._store.transact(Transaction(puts=[put]))
            self._lease = lease
        self._telemetry.store_calls.inc({"task": "presence", "result": "ok"})
        term = self._timing.holding_term * (1 - self._timing.clock_drift)
        self._valid_until = sent + term

    def _drop_identity(self) -> None:
        """Go on as a new holder after the term has lapsed, for instance during a pause.

        Others may be taking over the old holder's units at this moment, by writes that a read
        of the ledgers would not show yet. Under a new name this entry holds nothing, and the
        old units come back by the same rule as those of a process that was replaced.
        """
        self._me = replace(self._me, incarnation=uuid.uuid4().hex[:12])
        self._members[self._me.instance] = self._me
        self._lease = 0
        self._telemetry.log_state("term", f"lapsed, now {self._me.incarnation}", logging.WARNING)
        self._notify()

    async def _keep_list(self) -> None:
        while True:
            try:
                await self._read_list()
                pause = max(self._settings.poll_interval, len(self._members) / ENTRIES_PER_SECOND)
            except StoreError:
                pause = RETRY_PAUSE
            await anyio.sleep(pause)

    async def _look_for_proof(self, platform: PlatformCalls) -> None:
        """Ask the platform about missing holders, so that their units come back early.

        An instance that is replaced under another name never registers again, and its units
        would be out of use for the whole term.
        """
        while True:
            await anyio.sleep(max(PROOF_INTERVAL, len(self._members) / ENTRIES_PER_SECOND))
            for instance in sorted(self._ends.unproven()):
                try:
                    gone = await platform.is_gone(instance)
                except PlatformUnavailableError:
                    break
                if gone:
                    self._ends.note_gone(instance, clock.read())
                    self._telemetry.log_state(f"entry {instance}", "gone, says the platform")

    async def _read_list(self) -> None:
        asked = clock.read()
        listing = await self._store.list(self._keys.all_presence)
        self._telemetry.store_calls.inc({"task": "members", "result": "ok"})
        found = [Presence.from_bytes(item.value) for item in listing.items]
        self._ends.observe(found, asked)
        self._observed = True
        members = {member.instance: member for member in found}
        members[self._me.instance] = self._me
        if members != self._members:
            self._members = members
            self._notify()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
