"""Acquire a role that one entry holds at a time, using a key in the store bound to its lease."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

from vanillawell.coordination.membership import MAX_ENTRIES_READ_PER_SECOND
from vanillawell.exceptions import StoreError
from vanillawell.protocol.platform_calls import PlatformUnavailableError
from vanillawell.protocol.store import Compare, Put, Transaction

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from vanillawell.coordination.membership import Membership
    from vanillawell.protocol.store import Store
    from vanillawell.telemetry import Telemetry

ROUND_INTERVAL = 0.5
"""Seconds between two rounds of the entry that holds a role."""

PASSIVE_POLL_INTERVAL = 2.0
"""Minimum seconds between two checks whether the role is free."""


class NotHolderError(Exception):
    """Another entry holds the role, or a write that required it was refused."""


class Role:
    """A role that at most one entry holds.

    An entry that was paused may incorrectly assume that it still holds the role. Every write that
    depends on the role must therefore contain the comparison `guard`, which makes the store refuse
    the write once another entry has taken over.
    """

    def __init__(self, store: Store, key: str, membership: Membership) -> None:
        self._store = store
        self._key = key
        self._membership = membership
        self._revision = 0

    @property
    def guard(self) -> Compare:
        """Return the comparison that every write under this role must contain."""
        return Compare(self._key, self._revision)

    async def acquire(self) -> None:
        """Acquire the role if it is free; raise NotHolderError if another entry holds it."""
        if not self._membership.lease:
            raise NotHolderError
        stored = await self._store.get(self._key)
        me = self._membership.me.holder.encode()
        if stored is not None and stored.value == me:
            self._revision = stored.mod_revision
            return
        if stored is not None:
            raise NotHolderError
        put = Put(self._key, me, self._membership.lease)
        result = await self._store.transact(
            Transaction(compares=[Compare(self._key, 0)], puts=[put])
        )
        if not result.succeeded:
            raise NotHolderError
        self._revision = result.revision


async def run_while_held(
    name: str, act: Callable[[], Awaitable[None]], membership: Membership, telemetry: Telemetry
) -> None:
    """Call `act` repeatedly until cancelled; `act` itself acquires the role if it is free.

    Entries without the role poll less often in a larger fleet, so that the load on the store does
    not grow with the number of entries.
    """
    while True:
        try:
            await act()
            telemetry.state(name, "active")
        except NotHolderError:
            telemetry.state(name, "passive")
            entries = len(membership.members)
            await anyio.sleep(max(PASSIVE_POLL_INTERVAL, entries / MAX_ENTRIES_READ_PER_SECOND))
        except (StoreError, PlatformUnavailableError) as error:
            telemetry.state(name, f"waiting: {error}", logging.WARNING)
        await anyio.sleep(ROUND_INTERVAL)
