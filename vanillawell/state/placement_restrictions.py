"""Keep new tasks off machines and availability zones, whichever executors register there."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from vanillawell.state.executors import Executor


class PlacementRestrictions:
    """Machines and zones on which no task may start.

    An executor may register after its machine or zone was restricted, so each method takes the
    executors tracked so far, and `apply` restricts later ones.
    """

    def __init__(self) -> None:
        self._cordoned: dict[str, str] = {}
        """Machines that get no new tasks, each with the pool whose executors there do, or ""."""

        self._withheld: dict[str, str] = {}
        """Machines that an order of a previous owner may still take away, each with the pool that
        it moves to; empty if it stays in its pool."""

        self._evacuated_zones: frozenset[str] = frozenset()

    @property
    def evacuated_zones(self) -> frozenset[str]:
        """Return the zones whose executors get no new tasks."""
        return self._evacuated_zones

    def cordon(self, machine: str, executors: Iterable[Executor], joins: str = "") -> None:
        """Keep new tasks off a machine, until an executor of the pool that it `joins` is there."""
        self._cordoned[machine] = joins
        for executor in _on_machine(machine, executors):
            executor.cordoned = self._is_cordoned(executor)

    def uncordon(self, machine: str, executors: Iterable[Executor]) -> None:
        """Allow new tasks on a machine again."""
        self._cordoned.pop(machine, None)
        for executor in _on_machine(machine, executors):
            executor.cordoned = False

    def withhold(self, machines: Mapping[str, str], executors: Iterable[Executor]) -> None:
        """Keep new tasks off machines that a previous owner's orders may still take away.

        `machines` maps each machine to the pool that it moves to, or to "" for other orders. An
        executor that is already in that pool arrived through the order, which cannot end it.
        """
        self._withheld.update(machines)
        for executor in executors:
            self._withhold_if_ordered(executor)

    def release(self, machine: str, executors: Iterable[Executor], now: float) -> None:
        """Allow new tasks on a withheld machine once its executor has answered a later call."""
        self._withheld.pop(machine, None)
        for executor in _on_machine(machine, executors):
            if executor.withheld:
                executor.order_void_since = now

    def evacuate(self, zones: frozenset[str], executors: Iterable[Executor]) -> None:
        """Keep new tasks off the executors of `zones`, and off no other zone."""
        self._evacuated_zones = zones
        for executor in executors:
            executor.evacuated = executor.facts.zone in zones

    def apply(self, executor: Executor, is_new: bool) -> None:
        """Restrict an executor whose registration was applied."""
        if is_new:
            executor.cordoned = self._is_cordoned(executor)
        executor.evacuated = executor.facts.zone in self._evacuated_zones
        self._withhold_if_ordered(executor)

    def _is_cordoned(self, executor: Executor) -> bool:
        joins = self._cordoned.get(executor.facts.machine)
        return joins is not None and executor.facts.service != joins

    def _withhold_if_ordered(self, executor: Executor) -> None:
        pool = self._withheld.get(executor.facts.machine)
        if pool is not None and executor.facts.service != pool:
            executor.withheld = True
        elif executor.order_void_since is None:
            executor.withheld = False


def _on_machine(machine: str, executors: Iterable[Executor]) -> list[Executor]:
    return [item for item in executors if item.facts.machine == machine]
