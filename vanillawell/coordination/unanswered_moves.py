"""Remember moves of machines whose orders were not answered.

Such an order may have been carried out, or may be carried out at any moment, which ends whatever
runs on the machine by then. So the machine gets no tasks until it is known that the order has been
carried out, or never will be. Repeating it tells: an order that has been carried out is answered as
if it had just been.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from vanillawell.protocol.machine_calls import Machine
    from vanillawell.state.pool_sizing import MachineMove

REPEAT_DELAY = 0.5
"""Seconds after which an unanswered order is repeated."""


@dataclass(frozen=True, slots=True)
class _Unanswered:
    move: MachineMove
    tried_at: float


class UnansweredMoves:
    """Moves of one term that may have been carried out."""

    def __init__(self) -> None:
        self._moves: dict[str, _Unanswered] = {}

    def __contains__(self, machine: object) -> bool:
        """Return whether the move of a machine is unanswered."""
        return machine in self._moves

    def add(self, move: MachineMove, now: float) -> None:
        """Record that the order for a move was not answered, or that its answer does not tell."""
        self._moves[move.machine] = _Unanswered(move, now)

    def resolve(self, machine: str) -> None:
        """Record that the order for a machine has been carried out, or never will be."""
        self._moves.pop(machine, None)

    def due(self, now: float) -> list[MachineMove]:
        """Return the moves whose orders should be repeated."""
        return [item.move for item in self._moves.values() if now > item.tried_at + REPEAT_DELAY]

    def resolve_listed(self, machines: Mapping[str, Machine]) -> None:
        """Resolve the moves that a list of machines shows as carried out.

        It names a machine in its target pool only once it was sent there.
        """
        for name, item in list(self._moves.items()):
            machine = machines.get(name)
            if machine is not None and machine.pool == item.move.pool:
                self.resolve(name)
