"""Find the waves of upkeep that break a rule, by what the service for machines saw."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator


@dataclass(frozen=True, slots=True)
class WaveRecord:
    """What became of one wave."""

    number: int
    most_away: int
    """Machines of it that may be down for its upkeep at a time."""

    were_away: int
    """Machines of it that were, at most."""

    not_begun: frozenset[str]
    """Machines of it that have not begun their upkeep."""

    completed: bool
    """Whether it was published as completed."""


@dataclass(frozen=True, slots=True)
class WaveViolation:
    """A wave that breaks a rule."""

    rule: str
    wave: int
    detail: str
    late: bool = False

    def describe(self) -> str:
        """Return a line about the violation."""
        return f"{self.rule}: wave {self.wave}: {self.detail}"


def find_wave_violations(waves: Iterable[WaveRecord]) -> list[WaveViolation]:
    """Return all waves that break a rule."""
    return [violation for wave in waves for violation in _violations_of(wave)]


def _violations_of(wave: WaveRecord) -> Iterator[WaveViolation]:
    if wave.were_away > wave.most_away:
        detail = f"{wave.were_away} machines were down for it, {wave.most_away} may be"
        yield WaveViolation("LIMIT of a wave", wave.number, detail)
    if wave.completed and wave.not_begun:
        detail = f"completed, but not begun: {', '.join(sorted(wave.not_begun))}"
        yield WaveViolation("MIXED", wave.number, detail)
