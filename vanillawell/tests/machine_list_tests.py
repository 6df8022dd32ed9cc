"""Prove that a list of machines that can't be read ends no owner."""

from __future__ import annotations

from typing import Any

import anyio
import pytest

from vanillawell.platform.http import HttpClient
from vanillawell.platform.machines import PlatformMachines
from vanillawell.protocol.call_errors import NoAnswerError
from vanillawell.protocol.machine_calls import Machine, MachineState
from vanillawell.tests.scheduler_cluster import listen
from vanillawell.transport.asgi import read_body, send_json

SOUND = {"machine": "m-1", "pool": "p", "state": "up", "id": "i-1", "zone": "a"}


async def _list(content: Any) -> list[Machine] | NoAnswerError:
    """Return what is read of a list, or why it can't be read."""

    async def answer(scope: Any, receive: Any, send: Any) -> None:
        await read_body(receive, 1_000)
        await send_json(send, content)

    async with anyio.create_task_group() as tasks:
        machines = PlatformMachines(HttpClient(), listen(tasks, answer))
        try:
            return await machines.list_machines()
        except NoAnswerError as error:
            return error
        finally:
            tasks.cancel_scope.cancel()
    raise AssertionError("unreachable")


def test_machines_are_listed_with_the_executors_on_them() -> None:
    found = anyio.run(_list, {"machines": [SOUND, {**SOUND, "state": "down", "id": ""}]})
    assert isinstance(found, list)
    assert [(item.state, item.executor) for item in found] == [
        (MachineState.UP, "i-1"),
        (MachineState.DOWN, ""),
    ]


@pytest.mark.parametrize(
    "content",
    [{}, [], {"machines": [{"machine": "m-1"}]}, {"machines": [{**SOUND, "state": "retired"}]}],
)
def test_a_malformed_list_counts_as_no_answer(content: Any) -> None:
    """The service lists something that nobody expected. Whoever reads the list goes on without it;
    an error that nobody catches would end the owner, and the next one's, too."""
    assert isinstance(anyio.run(_list, content), NoAnswerError)
