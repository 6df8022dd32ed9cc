"""Hold a role that one entry has at a time, by a key in the store under its lease."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

from vanillawell.coordination.membership import ENTRIES_PER_SECOND
from vanillawell.exceptions import StoreError
from vanillawell.protocol.platform_calls import PlatformUnavailableError
from vanillawell.protocol.store import Compare, Put, Transaction

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from vanillawell.coordination.membership import Membership
    from vanillawell.protocol.store import Store
    from vanillawell.telemetry import Telemetry

PAUSE = 0.5
"""Seconds between two rounds of an entry that holds a role."""

PASSIVE_PAUSE = 2.0
"""Seconds after which an entry without the role looks again whether it is free."""


class NotHolderError(Exception):
    """Another entry holds the role, or a write that required it was refused."""


class Role:
    """One role.

    An entry that was paused may believe that it still holds the role. So nothing follows from
    the belief: every write that the role allows requires `guard`, and the store refuses it once
    another entry has taken over.
    """

    def __init__(self, store: Store, key: str, membership: Membership) -> None:
        self._store = store
        self._key = key
        self._membership = membership
        self._revision = 0

    @property
    def guard(self) -> Compare:
        """Return the comparison that a write under this role must contain."""
        return Compare(self._key, self._revision)

    async def hold(self) -> None:
        """Take the role if nobody has it; raises NotHolderError if somebody else does."""
        if not self._membership.lease:
            raise NotHolderError
        found = await self._store.get(self._key)
        me = self._membership.me.holder.encode()
        if found is not None and found.value == me:
            self._revision = found.mod_revision
            return
        if found is not None:
            raise NotHolderError
        put = Put(self._key, me, self._membership.lease)
        result = await self._store.transact(
            Transaction(compares=[Compare(self._key, 0)], puts=[put])
        )
        if not result.succeeded:
            raise NotHolderError
        self._revision = result.revision


async def act_while_held(
    name: str, act: Callable[[], Awaitable[None]], membership: Membership, telemetry: Telemetry
) -> None:
    """Call `act` again and again until cancelled; it takes the role first, if that is free.

    Entries without the role look less often in a larger fleet, so that the store's load from
    looking stays the same.
    """
    while True:
        try:
            await act()
            telemetry.log_state(name, "active")
        except NotHolderError:
            telemetry.log_state(name, "passive")
            entries = len(membership.members)
            await anyio.sleep(max(PASSIVE_PAUSE, entries / ENTRIES_PER_SECOND))
        except (StoreError, PlatformUnavailableError) as error:
            telemetry.log_state(name, f"waiting: {error}", logging.WARNING)
        await anyio.sleep(PAUSE)
