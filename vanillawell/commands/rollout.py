"""Poll the entries until each confirms that a configuration version is in force."""

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

POLL_INTERVAL = 0.05
"""Seconds between two status requests to an entry that has not confirmed."""

PROGRESS_INTERVAL = 1.0
"""Seconds between two lines of progress; a roll-out normally completes before the first."""

MAX_NAMED_ENTRIES = 5
"""Maximum number of lagging entries that a line of progress names."""

ADMIN_CALL_TIMEOUT = 1.0
"""Seconds within which an entry must answer a request to its admin port."""


@dataclass(slots=True)
class Rollout:
    """Progress of the roll-out of one configuration version."""

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
    store: Store, keys: StoreKeys, access: AdminAccess, version: int, since: float, timeout: float
) -> Rollout:
    """Poll all registered entries until each has `version` or `timeout` seconds have passed."""
    entries = await list_entries(store, keys)
    rollout = Rollout(version, lagging={entry.instance for entry in entries})
    with anyio.move_on_after(timeout):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_print_progress, rollout)
            async with anyio.create_task_group() as polls:
                for entry in entries:
                    polls.start_soon(_poll_entry, access, entry, rollout, since)
            tasks.cancel_scope.cancel()
    return rollout


async def _print_progress(rollout: Rollout) -> None:
    """Print at intervals which entries have not confirmed."""
    while True:
        await anyio.sleep(PROGRESS_INTERVAL)
        confirmed, lagging = len(rollout.seconds), sorted(rollout.lagging)
        named = ", ".join(lagging[:MAX_NAMED_ENTRIES])
        more = (
            f" and {len(lagging) - MAX_NAMED_ENTRIES} more"
            if len(lagging) > MAX_NAMED_ENTRIES
            else ""
        )
        print_line(
            f"version {rollout.version}: {confirmed} of {confirmed + len(lagging)} entries "
            f"confirm, waiting for {named}{more}"
        )


async def _poll_entry(access: AdminAccess, entry: Presence, rollout: Rollout, since: float) -> None:
    async with access.client(entry) as client:
        while True:
            try:
                status = await client.get("/status", ADMIN_CALL_TIMEOUT)
            except (NotSentError, NoAnswerError):
                status = {"version": 0}
            if status["version"] >= rollout.version:
                rollout.seconds[entry.instance] = time.monotonic() - since
                rollout.lagging.discard(entry.instance)
                return
            await anyio.sleep(POLL_INTERVAL)
