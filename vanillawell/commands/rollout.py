"""Follow a configuration until every entry confirms that it is in force there."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import anyio

from vanillawell.config.settings import Address
from vanillawell.protocol.documents import Presence
from vanillawell.transport.http_client import JsonClient, NoAnswerError, NotSentError

if TYPE_CHECKING:
    from vanillawell.protocol.documents import StoreKeys
    from vanillawell.protocol.store import Store

ASK_INTERVAL = 0.05
"""Seconds between two questions to an entry that lags."""

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
    listing = await store.list(keys.all_presence)
    return [Presence.from_bytes(item.value) for item in listing.items]


async def wait_for_rollout(
    store: Store, keys: StoreKeys, version: int, since: float, bound: float
) -> Rollout:
    """Ask all registered entries until each has `version` or `bound` seconds have passed."""
    entries = await list_entries(store, keys)
    rollout = Rollout(version, lagging={entry.instance for entry in entries})
    with anyio.move_on_after(bound):
        async with anyio.create_task_group() as tasks:
            for entry in entries:
                tasks.start_soon(_follow, entry, rollout, since)
    return rollout


async def _follow(entry: Presence, rollout: Rollout, since: float) -> None:
    address = Address(host=entry.admin_host, port=entry.admin_port)
    async with JsonClient(address) as client:
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
