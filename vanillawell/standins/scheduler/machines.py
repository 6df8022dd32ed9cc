"""Stand-in for the platform's services that manage machines and advise on placement."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import anyio
import orjson

from vanillawell.transport.asgi import read_body, send_json

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from vanillawell.transport.asgi import Receive, Scope, Send

MAX_BODY_BYTES = 100_000
"""Bytes of a request body that are read at most."""

UPKEEP_DURATION = 0.5
"""Seconds that the upkeep of a machine takes in the stand-in by default."""


@dataclass(slots=True)
class StandInMachine:
    """One machine, with its pool, its executor and its state."""

    name: str
    pool: str
    executor: str
    state: str = "up"
    upkeeps: int = 0
    waves: set[int] = field(default_factory=set)
    """Waves for which its upkeep has begun."""

    wave: int = 0
    """The latest of them."""


@dataclass(slots=True)
class StandInMachines:
    """ASGI application that manages machines and answers requests for advice."""

    machines: dict[str, StandInMachine] = field(default_factory=dict)
    max_away: int = 0
    """Maximum number of machines that were in upkeep at the same time."""

    max_away_by_wave: Counter[int] = field(default_factory=Counter)
    """The same of the machines of each wave, for its upkeep."""

    advised_executors: set[str] | None = None
    """Executors that the advice approves of; None approves of all."""

    moves: list[tuple[str, str]] = field(default_factory=list)
    """Machine and target pool of every order to move, including orders without effect."""

    move_seconds: float = 0.0
    """Seconds until an order to move a machine is carried out and answered."""

    upkeep_answer_seconds: float = 0.0
    """Seconds until an order for upkeep is carried out and answered."""

    upkeep_seconds: float = UPKEEP_DURATION
    """Seconds that the upkeep of a machine takes."""

    refuse_busy: bool = False
    """Whether orders for machines that are not up are refused."""

    unlisted: set[str] = field(default_factory=set)
    """Machines that the list leaves out, as if a page were missing."""

    advice_calls: int = 0
    on_move: Callable[[StandInMachine], Awaitable[None]] | None = None
    """Called after a machine has changed its pool."""

    on_upkeep: Callable[[StandInMachine], Awaitable[None]] | None = None
    """Called when the upkeep of a machine begins and when it ends."""

    _fencing_tokens: dict[str, int] = field(default_factory=dict)
    _task_group: Any = None

    def set_task_group(self, task_group: Any) -> None:
        """Set the task group in which callbacks for moves and the ends of upkeeps run."""
        self._task_group = task_group

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one request."""
        body = await read_body(receive, MAX_BODY_BYTES)
        if scope["path"] == "/machines":
            rows = [
                {"machine": item.name, "pool": item.pool, "state": item.state, "id": item.executor}
                for item in self.machines.values()
                if item.name not in self.unlisted
            ]
            await send_json(send, {"machines": rows, "nextToken": None})
            return
        document = orjson.loads(body)
        if scope["path"] == "/advise":
            self.advice_calls += 1
            approved = [
                [name, f"ticket-{document['step']}-{name}"]
                for name in document["workers"]
                if self.advised_executors is None or name in self.advised_executors
            ]
            await send_json(send, {"good": approved})
            return
        if document["machine"] not in self.machines:
            await send_json(send, {}, 400)
            return
        machine = self.machines[document["machine"]]
        is_move = scope["path"] == "/machine-move"
        await anyio.sleep(self.move_seconds if is_move else self.upkeep_answer_seconds)
        if self.refuse_busy and machine.state != "up":
            await send_json(send, {"reason": "busy"}, 409)
            return
        if is_move:
            self.moves.append((machine.name, document["pool"]))
            if machine.pool != document["pool"]:
                machine.pool = document["pool"]
                if self.on_move:
                    self._task_group.start_soon(self.on_move, machine)
            await send_json(send, {})
            return
        await self._begin_upkeep(scope, machine, document["wave"], send)

    async def _begin_upkeep(
        self, scope: Scope, machine: StandInMachine, wave: int, send: Send
    ) -> None:
        headers = dict(scope["headers"])
        token = int(headers[b"x-fence-token"])
        if token < self._fencing_tokens.get(machine.name, 0):
            await send_json(send, {"reason": "fence"}, 409)
            return
        self._fencing_tokens[machine.name] = token
        if machine.state == "up" and wave not in machine.waves:
            machine.upkeeps += 1
            machine.waves.add(wave)
            machine.state, machine.wave = "upkeep", wave
            self._count_away(wave)
            if self.on_upkeep:
                await self.on_upkeep(machine)
            self._task_group.start_soon(self._finish_upkeep, machine)
        await send_json(send, {})

    def _count_away(self, wave: int) -> None:
        away = [item for item in self.machines.values() if item.state == "upkeep"]
        self.max_away = max(self.max_away, len(away))
        of_wave = sum(item.wave == wave for item in away)
        self.max_away_by_wave[wave] = max(self.max_away_by_wave[wave], of_wave)

    async def _finish_upkeep(self, machine: StandInMachine) -> None:
        await anyio.sleep(self.upkeep_seconds)
        machine.state = "up"
        if self.on_upkeep:
            await self.on_upkeep(machine)
