"""Seeded plans of overlapping faults."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import StrEnum

QUIET_START = 3.0
"""Seconds at the start of the load without faults."""

QUIET_END = 6.0
"""Seconds at the end of the load without faults."""


EXECUTORS_FOR_RULES = 60
"""Executors that `RULES` are meant for."""


class FaultKind(StrEnum):
    """What goes wrong."""

    OWNER_KILLED = "owner killed"
    OWNER_PAUSED = "owner paused"
    OWNER_STOPPED = "owner stopped"
    ENTRY_KILLED = "entry killed"
    ENTRY_PAUSED = "entry paused"
    STORE_SLOW = "store slow"
    STORE_SILENT = "store silent"
    STORE_LOSES_ANSWERS = "store loses answers"
    EXECUTORS_RESTARTED = "executors restarted under their ids"
    EXECUTORS_CRASHED = "executors crashed while their machines stay up"
    EXECUTORS_CUT = "executors cut off"
    EXECUTORS_LATE = "orders carried out late"
    EXECUTORS_REPLACED = "executors replaced"
    FOREIGN_ENTRIES = "entries of another writer"
    WAVE = "wave of upkeeps"
    MACHINES_UNLISTED = "machines missing from their list"
    MACHINE_ORDERS_LATE = "orders for machines carried out late"
    PRESS = "many tasks of one organisation at once"


@dataclass(frozen=True, slots=True)
class FaultRule:
    """How often a kind of fault comes, and how long it lasts."""

    interval: float
    """Mean seconds between two faults."""

    shortest: float
    longest: float
    most_targets: int = 1


RULES = {
    FaultKind.OWNER_KILLED: FaultRule(20, 0.5, 2),
    FaultKind.OWNER_PAUSED: FaultRule(15, 1, 5),
    FaultKind.OWNER_STOPPED: FaultRule(25, 0.5, 2),
    FaultKind.ENTRY_KILLED: FaultRule(20, 0.5, 2),
    FaultKind.ENTRY_PAUSED: FaultRule(20, 1, 4),
    FaultKind.STORE_SLOW: FaultRule(20, 1, 4),
    FaultKind.STORE_SILENT: FaultRule(25, 0.5, 3),
    FaultKind.STORE_LOSES_ANSWERS: FaultRule(15, 0.2, 1),
    FaultKind.EXECUTORS_RESTARTED: FaultRule(2, 2, 5, 4),
    FaultKind.EXECUTORS_CRASHED: FaultRule(5, 0.1, 1.5, 2),
    FaultKind.EXECUTORS_CUT: FaultRule(4, 2, 5, 3),
    FaultKind.EXECUTORS_LATE: FaultRule(8, 2, 5, 2),
    FaultKind.EXECUTORS_REPLACED: FaultRule(5, 0.3, 2, 2),
    FaultKind.FOREIGN_ENTRIES: FaultRule(8, 0.5, 3, 2),
    FaultKind.WAVE: FaultRule(12, 10, 20, 6),
    FaultKind.MACHINES_UNLISTED: FaultRule(4, 1, 5, 12),
    FaultKind.MACHINE_ORDERS_LATE: FaultRule(20, 1, 4),
}


PRESS_RULE = FaultRule(8, 1, 1, 4)
"""Bursts of jobs with many small tasks; each target is one such job."""


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a plan."""

    at: float
    """Seconds after the start of the load."""

    kind: FaultKind
    seconds: float
    targets: tuple[int, ...]
    """Numbers of executors or entries, taken modulo how many there are."""


def build_plan(seed: int, seconds: float, executors: int, presses: bool = False) -> list[Fault]:
    """Return the faults of a seed, in order; more executors fail at a time if there are more.

    If `presses`, one organisation hands in many tasks at once now and then; the other faults of the
    seed stay the same.
    """
    chance = random.Random(seed)
    rules = {**RULES, FaultKind.PRESS: PRESS_RULE} if presses else RULES
    factor = max(1, round(executors / EXECUTORS_FOR_RULES))
    faults = [
        fault
        for kind, rule in rules.items()
        for fault in _faults(kind, rule, factor, seconds, chance)
    ]
    return sorted(faults, key=lambda fault: fault.at)


def _faults(
    kind: FaultKind, rule: FaultRule, factor: int, end: float, chance: random.Random
) -> list[Fault]:
    faults = []
    at = QUIET_START + chance.expovariate(1 / rule.interval)
    while at < end - QUIET_END:
        count = chance.randint(1, factor * rule.most_targets)
        targets = tuple(chance.randrange(10_000) for _ in range(count))
        faults.append(Fault(at, kind, chance.uniform(rule.shortest, rule.longest), targets))
        at += chance.expovariate(1 / rule.interval)
    return faults
