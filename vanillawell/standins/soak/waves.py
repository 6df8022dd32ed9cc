"""Request waves of upkeep as operators do, and keep what became of them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from vanillawell.standins.soak.wave_checks import WaveRecord

if TYPE_CHECKING:
    from collections.abc import Iterable

    from vanillawell.standins.scheduler.machines import StandInMachines
    from vanillawell.standins.scheduler.store import StandInStore

MAX_AWAY = 2
"""Machines of a wave that may be down for its upkeep at a time."""


@dataclass(slots=True)
class Waves:
    """All waves of a play."""

    store: StandInStore
    machines: StandInMachines
    _names: dict[int, list[str]] = field(default_factory=dict)
    """Machines of each wave, by its number."""

    def request(self, machines: Iterable[str], seconds: float) -> None:
        """Request the upkeep of machines within `seconds`."""
        number = len(self._names) + 1
        self._names[number] = sorted(set(machines))
        wave = {
            "wave": number,
            "machines": self._names[number],
            "durationS": seconds,
            "maximum": MAX_AWAY,
        }
        self.store.put_document(f"op/wave/{number}", wave)

    def records(self) -> list[WaveRecord]:
        """Return what became of all waves."""
        machines = self.machines.machines
        return [
            WaveRecord(
                number,
                MAX_AWAY,
                self.machines.max_away_by_wave[number],
                frozenset(name for name in names if number not in machines[name].waves),
                self._is_completed(number),
            )
            for number, names in self._names.items()
        ]

    def _is_completed(self, wave: int) -> bool:
        key = f"status/wave/{wave}"
        return key in self.store.items and self.store.read_document(key)["state"] == "completed"
