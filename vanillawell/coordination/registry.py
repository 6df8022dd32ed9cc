"""Follow the registry in which executors say who and where they are."""

from __future__ import annotations

import logging
import time
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.coordination.prefix_watch import PrefixWatch
from vanillawell.exceptions import StoreError

if TYPE_CHECKING:
    from collections.abc import Callable

    from vanillawell.coordination.ports import Ports
    from vanillawell.protocol.store import Changes, Listing
    from vanillawell.state.shard import Shard

log = logging.getLogger(__name__)

FOLLOW_WAIT = 2.0
"""Seconds one call waits for changes of executors."""


LOOK_PAUSE = 0.25
"""Seconds between two readings of the registry while a machine should have come."""

REST = 0.2
"""Seconds between two calls for changes while no machine should come.

Each executor writes its entry anew every second or two though nothing has changed; asked for one by
one, these writes cost a fleet's owner hundreds of calls a second."""


class RegistryWatch:
    """Tell a shard what executors say of themselves."""

    def __init__(self, ports: Ports, prefix: str, shard: Shard, wake: Callable[[], None]) -> None:
        self._read = ports.documents.executor
        self._prefix = prefix
        self._shard = shard
        self._wake = wake
        self._follower = PrefixWatch(
            ports.store, prefix, FOLLOW_WAIT, self._take_listing, self._take_changes
        )
        self._listed = anyio.Event()

    async def known(self) -> None:
        """Wait until all executors were read once.

        Before that a machine in use looks as if nothing lived on it.
        """
        await self._listed.wait()

    async def run(self, expects: Callable[[float], bool]) -> None:
        """Follow until cancelled, at once while `expects` says that a machine should have come."""
        await self._follower.run(lambda: 0.0 if expects(clock.read()) else REST)

    async def look(self, expects: Callable[[float], bool]) -> None:
        """Read the registry itself while `expects` says that a machine should have come.

        The store may tell nobody of changes for a second or two. In the middle of a peak twenty
        machines then stood idle for two seconds after they had come, and all callers of those
        seconds were late.
        """
        while True:
            await anyio.sleep(LOOK_PAUSE)
            if not expects(clock.read()):
                continue
            try:
                await self._follower.refresh()
            except StoreError as error:
                log.debug("registry not read", extra={"why": str(error)})

    def _take_listing(self, listing: Listing) -> None:
        present = {item.key.removeprefix(self._prefix) for item in listing.items}
        for name in self._shard.ledger.tracked_registrations() - present:
            self._unregister(name)
        for item in listing.items:
            self._register(item.key, item.value)
        self._listed.set()
        self._wake()

    def _take_changes(self, changes: Changes) -> None:
        news = False
        for change in changes.changes:
            if change.value is None:
                self._unregister(change.key.removeprefix(self._prefix))
                news = True
            elif self._register(change.key, change.value):
                news = True
        if news:
            self._wake()

    def _register(self, key: str, value: bytes) -> bool:
        """Take in an entry; tells whether it says anything new."""
        try:
            facts = self._read(key, value)
        except ValueError as error:
            log.error("unreadable executor", extra={"key": key, "reason": str(error)})
            return False
        if self._shard.ledger.is_terminated(facts):
            return False
        before = self._shard.ledger.executors.get(facts.executor)
        known = before is not None and before.registered
        is_new = not known or (before is not None and before.facts != facts)
        if not known or (before is not None and before.facts.draining != facts.draining):
            log.info(
                "executor registered",
                extra={
                    "executor": facts.executor,
                    "service": facts.service,
                    "machine": facts.machine,
                    "draining": facts.draining,
                    "remaining": facts.remaining,
                },
            )
        self._shard.register(facts, clock.read(), time.time())
        return is_new

    def _unregister(self, name: str) -> None:
        log.info("executor unregistered", extra={"executor": name})
        self._shard.ledger.unregister(name)
