"""Watch the documents that operators write: the configuration and requests for upkeep."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from vanillawell import clock
from vanillawell.coordination.prefix_watch import PrefixWatch

if TYPE_CHECKING:
    from collections.abc import Callable

    from vanillawell.coordination.ports import PlatformKeys
    from vanillawell.protocol.store import Changes, Listing, PolledStore
    from vanillawell.state.upkeep import Wave
    from vanillawell.state.work_policy import WorkPolicy

log = logging.getLogger(__name__)

WATCH_TIMEOUT = 0.8
"""Seconds that one call waits for changes; each answer confirms that the configuration is current.

Withdrawn keys must be refused within 5 s, and a slow store delivers changes up to 1 s late."""

MAX_WATCH_DELAY = 1.0
"""Seconds by which the store may delay changes for waiting calls."""


class PolicyWatch:
    """The newest configuration and waves; the version never decreases within a process."""

    def __init__(
        self,
        store: PolledStore,
        keys: PlatformKeys,
        read_policy: Callable[[bytes], WorkPolicy],
        read_wave: Callable[[bytes], Wave],
    ) -> None:
        self._keys = keys
        self._read_policy = read_policy
        self._read_wave = read_wave
        self._watch = PrefixWatch(
            store, keys.operators, WATCH_TIMEOUT, self._apply_listing, self._apply_changes
        )
        self._listeners: list[Callable[[], None]] = []
        self.policy: WorkPolicy | None = None
        self.waves: dict[int, Wave] = {}
        self.waves_first_seen: dict[int, float] = {}
        """Time of `clock.read` at which this entry first read each wave, by number."""

    def on_change(self, listener: Callable[[], None]) -> None:
        """Register a listener that is called after each change."""
        self._listeners.append(listener)

    def remove_listener(self, listener: Callable[[], None]) -> None:
        """Unregister a listener."""
        self._listeners.remove(listener)

    def on_outcome(self, listener: Callable[[bool], None]) -> None:
        """Register a listener that is called after each call to the store with whether it was
        answered."""
        self._watch.on_outcome(listener)

    async def run(self) -> None:
        """Watch until cancelled."""
        await self._watch.run()

    def age(self, now: float) -> float | None:
        """Return the seconds since the configuration was certainly current; None before that."""
        fresh_as_of = self._watch.fresh_as_of
        return (
            None
            if fresh_as_of is None or self.policy is None
            else now - fresh_as_of + MAX_WATCH_DELAY
        )

    def _apply_listing(self, listing: Listing) -> None:
        for item in listing.items:
            self._apply(item.key, item.value)
        self._notify()

    def _apply_changes(self, changes: Changes) -> None:
        for change in changes.changes:
            if change.value is not None:
                self._apply(change.key, change.value)
        self._notify()

    def _notify(self) -> None:
        for listener in list(self._listeners):
            listener()

    def _apply(self, key: str, value: bytes) -> None:
        try:
            if key == self._keys.configuration:
                self._apply_policy(self._read_policy(value))
            elif key.startswith(self._keys.waves):
                wave = self._read_wave(value)
                if wave.number not in self.waves:
                    log.info("upkeep requested", extra={"wave": wave.number})
                    self.waves_first_seen[wave.number] = clock.read()
                self.waves[wave.number] = wave
        except ValueError as error:
            log.error("operators' document unreadable", extra={"key": key, "reason": str(error)})

    def _apply_policy(self, policy: WorkPolicy) -> None:
        if self.policy is not None and policy.version <= self.policy.version:
            return
        self.policy = policy
        log.info(
            "configuration applied",
            extra={
                "version": policy.version,
                "queues": len(policy.queues),
                "organisations": len(policy.organisations),
            },
        )
