"""Watch the documents that operators write: the configuration, upkeep and evacuations."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from vanillawell import clock
from vanillawell.coordination.prefix_watch import PrefixWatch
from vanillawell.state.evacuation import EvacuatedZones

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

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
    """The newest configuration, the waves and the evacuated zones.

    The version of the configuration never decreases within a process.
    """

    def __init__(
        self,
        store: PolledStore,
        keys: PlatformKeys,
        read_policy: Callable[[bytes], WorkPolicy],
        read_wave: Callable[[bytes], Wave],
        known_zones: Collection[str] = (),
    ) -> None:
        """Initialise the watch; `known_zones` are all availability zones, empty if unknown."""
        self._keys = keys
        self._read_policy = read_policy
        self._read_wave = read_wave
        self._known_zones = frozenset(known_zones)
        self._watch = PrefixWatch(
            store, keys.operators, WATCH_TIMEOUT, self._apply_listing, self._apply_changes
        )
        self._listeners: list[Callable[[], None]] = []
        self.policy: WorkPolicy | None = None
        self.named_services: set[str] = set()
        """All services that a configuration applied by this process has named."""

        self.waves: dict[int, Wave] = {}
        self.waves_first_seen: dict[int, float] = {}
        """Time of `clock.read` at which this entry first read each wave, by number."""

        self.evacuated_zones = EvacuatedZones()

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
        listed = {self._evacuated_zone(item.key) for item in listing.items}
        for zone in self.evacuated_zones.names - listed:
            self._end_evacuation(zone)
        self._notify()

    def _apply_changes(self, changes: Changes) -> None:
        for change in changes.changes:
            if change.value is not None:
                self._apply(change.key, change.value)
            else:
                self._end_evacuation(self._evacuated_zone(change.key))
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
            elif key.startswith(self._keys.evacuations):
                self._begin_evacuation(self._evacuated_zone(key))
        except ValueError as error:
            log.error("operators' document unreadable", extra={"key": key, "reason": str(error)})

    def _apply_policy(self, policy: WorkPolicy) -> None:
        if self.policy is not None and policy.version <= self.policy.version:
            return
        self.policy = policy
        self.named_services.update(policy.services)
        self.named_services.update(queue.service for queue in policy.queues.values())
        log.info(
            "configuration applied",
            extra={
                "version": policy.version,
                "queues": len(policy.queues),
                "organisations": len(policy.organisations),
            },
        )

    def _evacuated_zone(self, key: str) -> str:
        """Return the zone that a key requests to evacuate; empty if it names none."""
        is_request = key.startswith(self._keys.evacuations)
        return key.removeprefix(self._keys.evacuations) if is_request else ""

    def _begin_evacuation(self, zone: str) -> None:
        """Apply a request to evacuate a zone.

        Raises:
            ValueError: The key names no zone.
        """
        if not zone:
            raise ValueError("the key names no zone")
        if not self.evacuated_zones.begin(zone, clock.read()):
            return
        if not self._known_zones or zone in self._known_zones:
            log.info("zone evacuated", extra={"zone": zone, **self._freshness()})
        else:
            log.warning("evacuated zone not known", extra={"zone": zone, **self._freshness()})

    def _end_evacuation(self, zone: str) -> None:
        known_for = self.evacuated_zones.end(zone, clock.read())
        if known_for is not None:
            fields = {"zone": zone, "seconds": round(known_for, 3)}
            log.info("zone taken back", extra={**fields, **self._freshness()})

    def _freshness(self) -> dict[str, object]:
        """Return the age of what is known of the operators' documents, as fields of log lines."""
        age = self.age(clock.read())
        return {"age": None if age is None else round(age, 3)}
