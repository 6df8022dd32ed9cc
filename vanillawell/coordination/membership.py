"""Register this entry in the store and track the other entries of the fleet.

An entry's presence key is bound to a lease that the entry renews. A missing presence does not prove
that the entry has terminated: it may be cut off from the store and still serve requests with the
limit units that it holds. A missing holder of units therefore counts as terminated only with proof,
or after the holding term, for which it may use its units without the store; see `HolderLiveness`.
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

RETRY_INTERVAL = 0.6
"""Seconds between two attempts to reach a store that is down."""

MAX_ENTRIES_READ_PER_SECOND = 4.0
"""Maximum entries read per second; the poll interval of the member list grows with its length."""

PLATFORM_QUERY_INTERVAL = 1.0
"""Minimum seconds between two queries to the platform about missing holders."""

WATCHERS_PER_ZONE = 2
"""Entries of each zone that watch the store on behalf of the others."""


class HolderLiveness:
    """Decide when a holder of limit units and all requests that it may have started have ended.

    A holder that is only cut off continues to use its units until its holding term expires. If its
    units were reassigned before that, an organisation would exceed its limit, which would be
    visible only in counts at the backend servers. Proof of an earlier end is a newer incarnation of
    the same instance, since the old process must have ended before the new one could bind its
    address, or the platform's confirmation that the instance has been removed.
    """

    def __init__(self, timing: TimingSettings) -> None:
        drift = 1 + timing.clock_drift
        self._after_proof = timing.longest_request * drift
        self._without_proof = (timing.holding_term + timing.longest_request) * drift
        self._missing_since: dict[str, float] = {}
        self._observed_at = 0.0
        self._present: set[str] = set()
        self._instances: set[str] = set()
        self._removed: set[str] = set()

    def observe(self, present: Iterable[Presence], now: float) -> None:
        """Update from a presence list whose read began at `now`."""
        members = list(present)
        self._observed_at = now
        self._present = {member.holder for member in members}
        self._instances = {member.instance for member in members}
        for holder in self._present:
            self._missing_since.pop(holder, None)

    def ended(self, holders: Iterable[str]) -> set[str]:
        """Return the holders whose units are provably not in use any more.

        Only the time up to the last read of the list counts: a holder that has registered again
        since then, within its term, is active although it is not in that list.
        """
        missing = [holder for holder in holders if holder not in self._present]
        for holder in missing:
            self._missing_since.setdefault(holder, self._observed_at)
        return {holder for holder in missing if self._observed_at >= self._latest_end(holder)}

    def unconfirmed_instances(self) -> set[str]:
        """Return the instances of missing holders without proof that they have terminated."""
        instances = {holder.partition("/")[0] for holder in self._missing_since}
        return instances - self._instances - self._removed

    def possibly_active(self, holders: Iterable[str]) -> set[str]:
        """Return the missing holders that may still send requests."""
        missing = set(holders) - self._present
        return missing - self.ended(missing)

    def mark_removed(self, instance: str, now: float) -> None:
        """Record that the platform has removed an instance; requests that it sent may still run."""
        self._removed.add(instance)
        for holder in self._missing_since:
            if holder.partition("/")[0] == instance:
                self._missing_since[holder] = now

    def _latest_end(self, holder: str) -> float:
        instance = holder.partition("/")[0]
        termination_proved = instance in self._instances or instance in self._removed
        wait = self._after_proof if termination_proved else self._without_proof
        return self._missing_since[holder] + wait


class Membership:
    """Maintain this entry's presence and the list of all entries."""

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
        self._liveness = HolderLiveness(timing)
        self._valid_until = 0.0
        self._list_read = False
        self._listeners: list[Callable[[], None]] = []

    @property
    def me(self) -> Presence:
        """Return this entry's own presence."""
        return self._me

    @property
    def lease(self) -> int:
        """Return the lease of this entry's presence, or 0 while it has none."""
        return self._lease

    @property
    def members(self) -> dict[str, Presence]:
        """Return all known entries by instance, including this one."""
        return self._members

    @property
    def valid_until(self) -> float:
        """Return the time until which this entry may use its limit units without the store."""
        return self._valid_until

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of the member list."""
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
        """Return whether this entry is one of the first of its zone, which watch the store."""
        first = itertools.islice(self.in_zone(self._me.zone), WATCHERS_PER_ZONE)
        return self._me in first

    def ended(self, holders: Iterable[str]) -> set[str]:
        """Return the holders of limit units that have provably terminated."""
        return self._liveness.ended(holders) if self._list_read else set()

    def possibly_active(self, holders: Iterable[str]) -> set[str]:
        """Return the holders of limit units that are not listed but may still send requests.

        An entry that is cut off from the store drops out of the list while it continues to serve
        with the units that it holds; an entry without units cannot send requests.
        """
        return self._liveness.possibly_active(set(holders) - {self._me.holder})

    def add_discovered(self, member: Presence) -> None:
        """Add an entry known from its heartbeat, which works while the store is unreachable."""
        if member.instance not in self._members:
            self._members[member.instance] = member
            self._notify()

    async def run(self) -> None:
        """Maintain the presence and the member list until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._maintain_presence)
            tasks.start_soon(self._maintain_list)
            if self._platform:
                tasks.start_soon(self._query_missing_holders, self._platform)

    async def leave(self) -> None:
        """Revoke the lease, so that other entries see immediately that this entry has left."""
        if self._lease:
            await self._store.revoke(self._lease)

    async def _maintain_presence(self) -> None:
        while True:
            try:
                await self._renew()
                self._telemetry.state("store", "reachable")
                await anyio.sleep(self._settings.lease_ttl / 3)
            except StoreError as error:
                self._telemetry.state("store", "unreachable", logging.WARNING)
                logging.getLogger(__name__).debug("store call failed: %s", error)
                await anyio.sleep(RETRY_INTERVAL)

    async def _renew(self) -> None:
        """Renew the lease, or register again if it has expired.

        The term is counted from before the call was sent: the store may have renewed the lease at
        any time after that, and other entries count from the end of the lease.
        """
        sent = clock.read()
        if self._valid_until and sent >= self._valid_until:
            self._change_identity()
        if not self._lease or not await self._store.keep_alive(self._lease):
            self._lease = 0
            lease = await self._store.grant_lease(self._settings.lease_ttl)
            put = Put(self._keys.presence(self._me.instance), self._me.to_bytes(), lease)
            await self._store.transact(Transaction(puts=[put]))
            self._lease = lease
        self._telemetry.store_calls.inc({"task": "presence", "result": "ok"})
        term = self._timing.holding_term * (1 - self._timing.clock_drift)
        self._valid_until = sent + term

    def _change_identity(self) -> None:
        """Continue as a new holder after the term has expired, for example during a pause.

        Other entries may be reassigning the old holder's units at this moment, by writes that a
        read of the ledgers does not show yet. Under a new holder name this entry holds no units,
        and the old ones are recovered in the same way as those of a replaced process.
        """
        self._me = replace(self._me, incarnation=uuid.uuid4().hex[:12])
        self._members[self._me.instance] = self._me
        self._lease = 0
        self._telemetry.state("term", f"lapsed, now {self._me.incarnation}", logging.WARNING)
        self._notify()

    async def _maintain_list(self) -> None:
        while True:
            try:
                await self._read_list()
                interval = max(
                    self._settings.poll_interval, len(self._members) / MAX_ENTRIES_READ_PER_SECOND
                )
            except StoreError:
                interval = RETRY_INTERVAL
            await anyio.sleep(interval)

    async def _query_missing_holders(self, platform: PlatformCalls) -> None:
        """Query the platform about missing holders, so that their units are recovered early.

        An instance that is replaced under another name never registers again, and its units would
        be unused for the whole term.
        """
        while True:
            await anyio.sleep(
                max(PLATFORM_QUERY_INTERVAL, len(self._members) / MAX_ENTRIES_READ_PER_SECOND)
            )
            for instance in sorted(self._liveness.unconfirmed_instances()):
                try:
                    removed = await platform.is_terminated(instance)
                except PlatformUnavailableError:
                    break
                if removed:
                    self._liveness.mark_removed(instance, clock.read())
                    self._telemetry.state(f"entry {instance}", "removed, confirmed by the platform")

    async def _read_list(self) -> None:
        requested_at = clock.read()
        listing = await self._store.list(self._keys.presence_prefix)
        self._telemetry.store_calls.inc({"task": "members", "result": "ok"})
        listed = [Presence.from_bytes(item.value) for item in listing.items]
        self._liveness.observe(listed, requested_at)
        self._list_read = True
        members = {member.instance: member for member in listed}
        members[self._me.instance] = self._me
        if members != self._members:
            self._members = members
            self._notify()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
