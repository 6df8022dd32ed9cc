"""Stand in for the services that own machines and give advice."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import anyio
import orjson

from vanillawell.transport.asgi import read_body, send_json

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from vanillawell.transport.asgi import Receive, Scope, Send

LARGEST_BODY = 100_000
"""Bytes of a request that are read."""

UPKEEP_SECONDS = 0.5
"""Seconds that the upkeep of a machine takes here."""


@dataclass(slots=True)
class StandInMachine:
    """One machine."""

    name: str
    pool: str
    executor: str
    state: str = "up"
    upkeeps: int = 0


@dataclass(slots=True)
class StandInMachines:
    """An ASGI application that owns machines and gives advice."""

    machines: dict[str, StandInMachine] = field(default_factory=dict)
    max_away: int = 0
    """Most machines that were away for upkeep at the same time."""

    advised_executors: set[str] | None = None
    """Executors that advice names; None for all."""

    moves: list[tuple[str, str]] = field(default_factory=list)
    """Orders to move a machine into a pool, those without effect included."""

    move_seconds: float = 0.0
    """Seconds until the order for a move is carried out and answered."""

    upkeep_answer_seconds: float = 0.0
    """Seconds until the order for an upkeep is carried out and answered."""

    advice_calls: int = 0
    on_move: Callable[[StandInMachine], Awaitable[None]] | None = None
    """Called once a machine has changed its pool."""

    on_upkeep: Callable[[StandInMachine], Awaitable[None]] | None = None
    """Called when an upkeep begins and when it is over."""

    _tokens: dict[str, int] = field(default_factory=dict)
    _tasks: Any = None

    def set_task_group(self, tasks: Any) -> None:
        """Let upkeeps end in tasks of this group."""
        self._tasks = tasks

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer one call."""
        body = await read_body(receive, LARGEST_BODY)
        if scope["path"] == "/machines":
            listed = [
                {"machine": item.name, "pool": item.pool, "state": item.state, "id": item.executor}
                for item in self.machines.values()
            ]
            await send_json(send, {"machines": listed, "nextToken": None})
            return
        document = orjson.loads(body)
        if scope["path"] == "/advise":
            self.advice_calls += 1
            good = [
                [name, f"ticket-{document['step']}-{name}"]
                for name in document["workers"]
                if self.advised_executors is None or name in self.advised_executors
            ]
            await send_json(send, {"good": good})
            return
        if scope["path"] == "/machine-move":
            await anyio.sleep(self.move_seconds)
            machine = self.machines[document["machine"]]
            self.moves.append((machine.name, document["pool"]))
            if machine.pool != document["pool"]:
                machine.pool = document["pool"]
                if self.on_move:
                    self._tasks.start_soon(self.on_move, machine)
            await send_json(send, {})
            return
        await self._upkeep(scope, document, send)

    async def _upkeep(self, scope: Scope, document: dict[str, Any], send: Send) -> None:
        await anyio.sleep(self.upkeep_answer_seconds)
        headers = dict(scope["headers"])
        token = int(headers[b"x-fence-token"])
        machine = self.machines[document["machine"]]
        if token < self._tokens.get(machine.name, 0):
            await send_json(send, {"reason": "fence"}, 409)
            return
        self._tokens[machine.name] = token
        if machine.state == "up" and not machine.upkeeps:
            machine.upkeeps += 1
            machine.state = "upkeep"
            away = sum(item.state == "upkeep" for item in self.machines.values())
            self.max_away = max(self.max_away, away)
            if self.on_upkeep:
                await self.on_upkeep(machine)
            self._tasks.start_soon(self._finish, machine)
        await send_json(send, {})

    async def _finish(self, machine: StandInMachine) -> None:
        await anyio.sleep(UPKEEP_SECONDS)
        machine.state = "up"
        if self.on_upkeep:
            await self.on_upkeep(machine)
