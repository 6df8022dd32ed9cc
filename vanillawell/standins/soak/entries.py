"""Scheduler processes, started by the command of the deploy file."""

from __future__ import annotations

import os
import shlex
import subprocess
import sys
import tomllib
from dataclasses import dataclass
from typing import TYPE_CHECKING

import orjson

from vanillawell.standins.processes import Process, free_port

if TYPE_CHECKING:
    from pathlib import Path
    from typing import BinaryIO

BOUNDS = {
    "lease_most_ms": 6000,
    "kill_grace_ms": 400,
    "revoke_ms": 5000,
    "strict_revoke": True,
    "state_kept_s": 120,
    "duty_lease_ms": 3000,
    "grace_s": 6,
    "drain_ms": 3000,
    "remote_factor": 3,
}
"""Bounds of the large deployment, in the names of the deploy file's settings."""

INHERITED = ("PATH", "HOME", "LANG")
"""Environment variables that the platform passes to a process."""


@dataclass(frozen=True, slots=True)
class Place:
    """Where entries run and what they reach."""

    checkout: Path
    """Root of the version that is played."""

    dependencies: Path
    """Libraries that the deploy file's build collects; without them, those of this process."""

    folder: Path
    """Holds settings and logs."""

    store: str
    machines: str


class Entry(Process):
    """One scheduler process, which can be started again after its end."""

    def __init__(self, name: str, zone: str, place: Place) -> None:
        super().__init__(name, "", [], place.folder / f"{name}.log")
        self.caller, self.ready, metrics = (f"127.0.0.1:{free_port()}" for _ in range(3))
        self._place = place
        self._settings = place.folder / f"{name}.json"
        document = {
            "instance": name,
            "zone": zone,
            "zones": ["a", "b", "c"],
            "caller": self.caller,
            "ready": self.ready,
            "metrics": metrics,
            "store": place.store,
            "machines": place.machines,
            "advice": "",
            "shortest_lease_ms": 1000,
            "capacity": {"processor_share": 0.717, "processor_speed": 3, "link_mbit": 200.0},
            "bounds": BOUNDS,
        }
        self._settings.write_bytes(orjson.dumps(document))

    def _launch(self, log: BinaryIO) -> subprocess.Popen[bytes]:
        checkout, dependencies = self._place.checkout, self._place.dependencies
        deploy = tomllib.loads((checkout / "deploy/system.toml").read_text())
        words = shlex.split(deploy["roles"]["entry"]["run"])
        if not dependencies.is_dir():
            words[0] = sys.executable
        environment = {name: os.environ[name] for name in INHERITED if name in os.environ}
        environment["VANILLAWELL_SETTINGS"] = str(self._settings)
        environment["PYTHONPATH"] = str(dependencies)
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        return subprocess.Popen(words, cwd=checkout, env=environment, stdout=log, stderr=log)
