"""Watch the registry in which executors publish their address and state."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.coordination.prefix_watch import PrefixWatch
from vanillawell.exceptions import StoreError

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from vanillawell.coordination.ports import Ports
    from vanillawell.protocol.store import Changes, Listing
    from vanillawell.state.executors import ExecutorFacts
    from vanillawell.state.shard import Shard

log = logging.getLogger(__name__)

WATCH_TIMEOUT = 2.0
"""Seconds that one call to the store waits for changes of the registry."""


POLL_INTERVAL = 0.25
"""Seconds between two listings of the registry while a machine is expected to register."""

BATCH_INTERVAL = 0.2
"""Seconds between two calls for changes while no machine is expected.

Each executor rewrites its registration every second or two even if nothing has changed. Requested
one by one, these writes would cost the owner of a large fleet hundreds of calls a second."""


class RegistryWatch:
    """Apply the registrations of executors to a shard."""

    def __init__(
        self,
        ports: Ports,
        prefix: str,
        shard: Shard,
        named_services: Callable[[], Collection[str]],
        wake: Callable[[], None],
    ) -> None:
        """Initialise the watch.

        Args:
            ports: The external services.
            prefix: Prefix of the registry in the store.
            shard: The shard that the registrations are applied to.
            named_services: Returns the services that any configuration so far has named.
            wake: Wakes the shard's owner.
        """
        self._read = ports.documents.executor
        self._prefix = prefix
        self._shard = shard
        self._named_services = named_services
        self._wake = wake
        self._watch = PrefixWatch(
            ports.store, prefix, WATCH_TIMEOUT, self._apply_listing, self._apply_changes
        )
        self._listed = anyio.Event()

    async def wait_until_listed(self) -> None:
        """Wait until all registrations have been read once.

        Before that, a machine in use looks as if no executor ran on it.
        """
        await self._listed.wait()

    def apply_services(self) -> None:
        """Register the executors of services that were named only after their entries were read."""
        shard = self._shard
        queued = {queue.service for queue in shard.queues.in_use().values()}
        for facts in shard.registrations.add_services({*self._named_services(), *queued}):
            self._apply(facts)

    async def run(self, expects_machine: Callable[[float], bool]) -> None:
        """Watch until cancelled, without batching while `expects_machine` returns true."""
        await self._watch.run(lambda: 0.0 if expects_machine(clock.read()) else BATCH_INTERVAL)

    async def poll(self, expects_machine: Callable[[float], bool]) -> None:
        """List the registry regularly while `expects_machine` returns true.

        The store may deliver changes a second or two late. During a load peak, twenty machines were
        idle for two seconds after their arrival for this reason, and all requests of those seconds
        missed their deadlines.
        """
        while True:
            await anyio.sleep(POLL_INTERVAL)
            if not expects_machine(clock.read()):
                continue
            try:
                await self._watch.refresh()
            except StoreError as error:
                log.debug("executor registry not read", extra={"why": str(error)})

    def _apply_listing(self, listing: Listing) -> None:
        self.apply_services()
        present = {item.key.removeprefix(self._prefix) for item in listing.items}
        for name in self._shard.ledger.tracked_registrations() - present:
            self._unregister(name)
        self._shard.registrations.retain(present)
        for item in listing.items:
            self._register(item.key, item.value)
        self._listed.set()
        self._wake()

    def _apply_changes(self, changes: Changes) -> None:
        changed = False
        for change in changes.changes:
            if change.value is None:
                self._unregister(change.key.removeprefix(self._prefix))
                changed = True
            elif self._register(change.key, change.value):
                changed = True
        if changed:
            self._wake()

    def _register(self, key: str, value: bytes) -> bool:
        """Apply a registration and return whether it contains anything new."""
        registrations = self._shard.registrations
        try:
            facts = self._read(key, value)
        except ValueError as error:
            registrations.reject(key.removeprefix(self._prefix))
            fields = {"key": key, "reason": str(error)}
            if registrations.is_first_report(key, str(error)):
                log.error("executor registration unreadable", extra=fields)
            return False
        if not registrations.accept(facts):
            if registrations.is_first_report(key, facts.service):
                fields = {"key": key, "service": facts.service, "machine": facts.machine}
                log.warning("executor registration of unknown service", extra=fields)
            return False
        return self._apply(facts)

    def _apply(self, facts: ExecutorFacts) -> bool:
        """Apply the registration of an executor and return whether it contains anything new."""
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
        self._shard.register(facts, clock.read())
        return is_new

    def _unregister(self, name: str) -> None:
        self._shard.registrations.remove(name)
        log.info("executor unregistered", extra={"executor": name})
        self._shard.ledger.unregister(name)
