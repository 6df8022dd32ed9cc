"""Follow what operators write: the configuration in force and requests for upkeep."""

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

PROOF_WAIT = 0.8
"""Seconds one call waits for changes; each answer proves how fresh the configuration is.

Withdrawn keys must stop within 5 s, and a store that is slow to tell of changes takes 1 s."""

DEAF_BOUND = 1.0
"""Seconds for which the store may keep changes from those who wait for them."""


class PolicyWatch:
    """Hold the newest configuration that was seen; versions never go back within a process."""

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
        self._follower = PrefixWatch(
            store, keys.operators, PROOF_WAIT, self._take_listing, self._take_changes
        )
        self._listeners: list[Callable[[], None]] = []
        self.policy: WorkPolicy | None = None
        self.waves: dict[int, Wave] = {}
        self.waves_first_seen: dict[int, float] = {}
        """Clock of decisions at which each wave was first read of here."""

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change."""
        self._listeners.append(listener)

    def remove_listener(self, listener: Callable[[], None]) -> None:
        """Call `listener` no more."""
        self._listeners.remove(listener)

    def on_outcome(self, listener: Callable[[bool], None]) -> None:
        """Call `listener` after each call to the store, with whether it was answered."""
        self._follower.on_outcome(listener)

    async def run(self) -> None:
        """Follow until cancelled."""
        await self._follower.run()

    def age(self, now: float) -> float | None:
        """Return the seconds since the configuration was surely the newest; None before that."""
        proved = self._follower.proved
        return None if proved is None or self.policy is None else now - proved + DEAF_BOUND

    def _take_listing(self, listing: Listing) -> None:
        for item in listing.items:
            self._take(item.key, item.value)
        self._tell()

    def _take_changes(self, changes: Changes) -> None:
        for change in changes.changes:
            if change.value is not None:
                self._take(change.key, change.value)
        self._tell()

    def _tell(self) -> None:
        for listener in list(self._listeners):
            listener()

    def _take(self, key: str, value: bytes) -> None:
        try:
            if key == self._keys.configuration:
                self._take_policy(self._read_policy(value))
            elif key.startswith(self._keys.waves):
                wave = self._read_wave(value)
                if wave.number not in self.waves:
                    log.info("upkeep requested", extra={"wave": wave.number})
                    self.waves_first_seen[wave.number] = clock.read()
                self.waves[wave.number] = wave
        except ValueError as error:
            log.error("unreadable document", extra={"key": key, "reason": str(error)})

    def _take_policy(self, policy: WorkPolicy) -> None:
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
