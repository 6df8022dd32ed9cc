"""Follow a configuration until every entry confirms that it is in force there."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from vanillawell.commands.printing import print_line
from vanillawell.protocol.call_errors import NoAnswerError, NotSentError
from vanillawell.protocol.documents import Presence

if TYPE_CHECKING:
    from vanillawell.protocol.documents import StoreKeys
    from vanillawell.protocol.store import Store
    from vanillawell.transport.admin_client import AdminAccess

ASK_INTERVAL = 0.05
"""Seconds between two questions to an entry that lags."""

TELL_INTERVAL = 1.0
"""Seconds between two lines of progress; a roll-out normally ends before the first."""

NAMED_AT_MOST = 5
"""Lagging entries named in a line of progress."""

ASK_TIMEOUT = 1.0
"""Seconds an entry may take to answer."""


@dataclass(slots=True)
class Rollout:
    """How far a version has come."""

    version: int
    seconds: dict[str, float] = field(default_factory=dict)
    """Seconds from the write to the confirmation, by entry."""

    lagging: set[str] = field(default_factory=set)
    """Entries that have not confirmed."""


async def list_entries(store: Store, keys: StoreKeys) -> list[Presence]:
    """Return all entries that are registered."""
    listing = await store.list(keys.presence_prefix)
    return [Presence.from_bytes(item.value) for item in listing.items]


async def wait_for_rollout(
    store: Store, keys: StoreKeys, access: AdminAccess, version: int, since: float, bound: float
) -> Rollout:
    """Ask all registered entries until each has `version` or `bound` seconds have passed."""
    entries = await list_entries(store, keys)
    rollout = Rollout(version, lagging={entry.instance for entry in entries})
    with anyio.move_on_after(bound):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_tell, rollout)
            async with anyio.create_task_group() as questions:
                for entry in entries:
                    questions.start_soon(_follow, access, entry, rollout, since)
            tasks.cancel_scope.cancel()
    return rollout


async def _tell(rollout: Rollout) -> None:
    """Say who lags while a roll-out takes long."""
    while True:
        await anyio.sleep(TELL_INTERVAL)
        done, lagging = len(rollout.seconds), sorted(rollout.lagging)
        named = ", ".join(lagging[:NAMED_AT_MOST])
        more = f" and {len(lagging) - NAMED_AT_MOST} more" if len(lagging) > NAMED_AT_MOST else ""
        print_line(
            f"version {rollout.version}: {done} of {done + len(lagging)} entries confirm, "
            f"waiting for {named}{more}"
        )


async def _follow(access: AdminAccess, entry: Presence, rollout: Rollout, since: float) -> None:
    async with access.client(entry) as client:
        while True:
            try:
                status = await client.get("/status", ASK_TIMEOUT)
            except (NotSentError, NoAnswerError):
                status = {"version": 0}
            if status["version"] >= rollout.version:
                rollout.seconds[entry.instance] = time.monotonic() - since
                rollout.lagging.discard(entry.instance)
                return
            await anyio.sleep(ASK_INTERVAL)
