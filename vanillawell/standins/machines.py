"""Emulate the platform's instances: a lagging list, reboots and failures.

An availability record, which tests check, is updated at each change of the assignment or of an
instance. It counts the instances of each pool that are really available and keeps the minimum.
"""

from __future__ import annotations

from base64 import b64decode
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import anyio
import orjson

UPDATE_INTERVAL = 0.05
"""Seconds between two updates of the states of reboots and failed instances."""


@dataclass(slots=True)
class Reboot:
    """One reboot, which is identified by the id of its operation."""

    instance: str
    started: float
    ends: float
    done: bool = False


@dataclass(slots=True)
class MachineSetup:
    """Settings of the emulated instances, as sent by a test."""

    homes: dict[str, str] = field(default_factory=dict)
    """Pool of each instance that has no placement in the assignment."""

    reboot_seconds: float = 0.5
    list_lag: float = 0.5
    assignment_key: str = "/vanillawell/assignment"


class Machines:
    """Emulate the instances of the platform."""

    def __init__(self) -> None:
        self._setup = MachineSetup()
        self._down_until: dict[str, float] = {}
        self._reboots: dict[str, Reboot] = {}
        self._placements: dict[str, dict[str, str]] = {}
        self._state_history: list[tuple[float, dict[str, str]]] = []
        self._min_available: dict[str, int] = {}
        self._min_planned: dict[str, int] = {}
        self._moves = 0
        self._gone: set[str] = set()

    def set_up(self, request: dict[str, Any]) -> None:
        """Apply the settings sent by a test."""
        self._setup = MachineSetup(**request)
        self._record_availability()

    def record_assignment(self, key: str, value: str) -> None:
        """Record a write to the store if it is a new assignment."""
        if b64decode(key).decode() != self._setup.assignment_key:
            return
        previous = dict(self._placements)
        document = orjson.loads(b64decode(value))
        self._placements = document["placements"]
        self._setup.homes |= document["wanted"]
        self._moves += sum(
            item["pool"] != self._previous_pool(previous, name)
            for name, item in self._placements.items()
        )
        self._record_availability()

    def _previous_pool(self, previous: dict[str, dict[str, str]], name: str) -> str:
        return previous[name]["pool"] if name in previous else self._setup.homes.get(name, "")

    def fail(self, instances: list[str], seconds: float, now: float) -> None:
        """Make instances fail without notice for some seconds."""
        self._down_until |= dict.fromkeys(instances, now + seconds)
        self._record_availability()

    def reboot(self, operation: str, instance: str, now: float) -> dict[str, str]:
        """Start a reboot or return its state; the same id never starts a second one."""
        if operation not in self._reboots:
            ends = now + self._setup.reboot_seconds
            self._reboots[operation] = Reboot(instance, now, ends)
            self._down_until[instance] = max(ends, self._down_until.get(instance, 0.0))
            self._record_availability()
        return {"state": "done" if self._reboots[operation].done else "running"}

    def remove_permanently(self, instances: list[str]) -> None:
        """Mark instances as gone permanently."""
        self._gone.update(instances)

    def instance_state(self, instance: str) -> dict[str, str]:
        """Return whether an instance is live or gone permanently."""
        return {"state": "gone" if instance in self._gone else "live"}

    def list_instances(self, now: float) -> dict[str, Any]:
        """Return the states of the instances as of `list_lag` seconds ago."""
        lag = self._setup.list_lag
        lagged = [states for at, states in self._state_history if at <= now - lag]
        states = lagged[-1] if lagged else dict.fromkeys(self._setup.homes, "live")
        return {"instances": states, "age": lag}

    async def run(self) -> None:
        """Update reboots, failed instances and the listed states until cancelled."""
        while True:
            await anyio.sleep(UPDATE_INTERVAL)
            now = anyio.current_time()
            for reboot in self._reboots.values():
                reboot.done = reboot.done or reboot.ends <= now
            recovered = [name for name, until in self._down_until.items() if until <= now]
            for name in recovered:
                del self._down_until[name]
            self._record_availability()
            states = {
                name: "down" if name in self._down_until else "live" for name in self._setup.homes
            }
            self._state_history.append((now, states))
            del self._state_history[:-2000]

    def _record_availability(self) -> None:
        """Update the minimum counts of available instances, with and without unplanned failures."""
        rebooting = {item.instance for item in self._reboots.values() if not item.done}
        available: Counter[str] = Counter(dict.fromkeys(self._setup.homes.values(), 0))
        planned: Counter[str] = Counter(dict.fromkeys(self._setup.homes.values(), 0))
        for name, home in self._setup.homes.items():
            item = self._placements.get(name, {"pool": home, "phase": "serving"})
            serving = item["phase"] == "serving" and name not in rebooting
            planned[item["pool"]] += serving
            available[item["pool"]] += serving and name not in self._down_until
        for pool in available:
            self._min_available[pool] = min(self._min_available.get(pool, 10**6), available[pool])
            self._min_planned[pool] = min(self._min_planned.get(pool, 10**6), planned[pool])

    def report(self) -> dict[str, Any]:
        """Return the availability record, the moves and the reboots."""
        rebooted = Counter(item.instance for item in self._reboots.values())
        return {
            "least_available": self._min_available,
            "least_planned": self._min_planned,
            "moves": self._moves,
            "reboots": dict(rebooted),
            "windows": [[r.instance, r.started, r.ends] for r in self._reboots.values()],
        }
