"""Play the platform's instances: a lagging list, reboots, failures, and a true record.

The record is what tests judge by: at every change of the assignment or of an instance it counts
how many instances of each pool are really available, and keeps the smallest number.
"""

from __future__ import annotations

from base64 import b64decode
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import anyio
import orjson

TICK = 0.05
"""Seconds between two looks at instances whose time is up."""


@dataclass(slots=True)
class Reboot:
    """One reboot by its operation's id."""

    instance: str
    started: float
    ends: float
    done: bool = False


@dataclass(slots=True)
class Setup:
    """What a test says of the platform."""

    homes: dict[str, str] = field(default_factory=dict)
    """Pool of each instance when nothing is assigned otherwise."""

    reboot_seconds: float = 0.5
    list_lag: float = 0.5
    assignment_key: str = "/vanillawell/assignment"


class Machines:
    """Own the instances of the emulated platform."""

    def __init__(self) -> None:
        self._setup = Setup()
        self._down_until: dict[str, float] = {}
        self._reboots: dict[str, Reboot] = {}
        self._placements: dict[str, dict[str, str]] = {}
        self._listed: list[tuple[float, dict[str, str]]] = []
        self._least: dict[str, int] = {}
        self._least_planned: dict[str, int] = {}
        self._moves = 0
        self._gone: set[str] = set()

    def set_up(self, request: dict[str, Any]) -> None:
        """Take over what a test says."""
        self._setup = Setup(**request)
        self._record()

    def note_put(self, key: str, value: str) -> None:
        """Take notice of a new assignment in the store."""
        if b64decode(key).decode() != self._setup.assignment_key:
            return
        before = dict(self._placements)
        document = orjson.loads(b64decode(value))
        self._placements = document["placements"]
        self._setup.homes |= document["wanted"]
        self._moves += sum(
            item["pool"] != self._pool_before(before, name)
            for name, item in self._placements.items()
        )
        self._record()

    def _pool_before(self, before: dict[str, dict[str, str]], name: str) -> str:
        return before[name]["pool"] if name in before else self._setup.homes.get(name, "")

    def fail(self, instances: list[str], seconds: float, now: float) -> None:
        """Let instances fail without warning for some seconds."""
        self._down_until |= dict.fromkeys(instances, now + seconds)
        self._record()

    def reboot(self, operation: str, instance: str, now: float) -> dict[str, str]:
        """Start a reboot, or say how it goes; the same id never starts a second one."""
        if operation not in self._reboots:
            ends = now + self._setup.reboot_seconds
            self._reboots[operation] = Reboot(instance, now, ends)
            self._down_until[instance] = max(ends, self._down_until.get(instance, 0.0))
            self._record()
        return {"state": "done" if self._reboots[operation].done else "running"}

    def remove_permanently(self, instances: list[str]) -> None:
        """Let instances be gone, never to run again."""
        self._gone.update(instances)

    def state_of(self, instance: str) -> dict[str, str]:
        """Say whether an instance is gone."""
        return {"state": "gone" if instance in self._gone else "live"}

    def listed(self, now: float) -> dict[str, Any]:
        """Return the list of instances as it was some time ago."""
        lag = self._setup.list_lag
        old = [states for at, states in self._listed if at <= now - lag]
        states = old[-1] if old else dict.fromkeys(self._setup.homes, "live")
        return {"instances": states, "age": lag}

    async def run(self) -> None:
        """Let time pass until cancelled."""
        while True:
            await anyio.sleep(TICK)
            now = anyio.current_time()
            for reboot in self._reboots.values():
                reboot.done = reboot.done or reboot.ends <= now
            ended = [name for name, until in self._down_until.items() if until <= now]
            for name in ended:
                del self._down_until[name]
            self._record()
            states = {
                name: "down" if name in self._down_until else "live" for name in self._setup.homes
            }
            self._listed.append((now, states))
            del self._listed[:-2000]

    def _record(self) -> None:
        """Count available instances, with and without those that failed by themselves."""
        rebooting = {item.instance for item in self._reboots.values() if not item.done}
        available: Counter[str] = Counter(dict.fromkeys(self._setup.homes.values(), 0))
        planned: Counter[str] = Counter(dict.fromkeys(self._setup.homes.values(), 0))
        for name, home in self._setup.homes.items():
            item = self._placements.get(name, {"pool": home, "phase": "serving"})
            serving = item["phase"] == "serving" and name not in rebooting
            planned[item["pool"]] += serving
            available[item["pool"]] += serving and name not in self._down_until
        for pool in available:
            self._least[pool] = min(self._least.get(pool, 10**6), available[pool])
            self._least_planned[pool] = min(self._least_planned.get(pool, 10**6), planned[pool])

    def report(self) -> dict[str, Any]:
        """Return the record."""
        rebooted = Counter(item.instance for item in self._reboots.values())
        return {
            "least_available": self._least,
            "least_planned": self._least_planned,
            "moves": self._moves,
            "reboots": dict(rebooted),
            "windows": [[r.instance, r.started, r.ends] for r in self._reboots.values()],
        }
