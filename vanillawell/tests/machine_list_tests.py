"""Test that a malformed list of machines counts as a call without an answer."""

from __future__ import annotations

from typing import Any

import anyio
import pytest

from vanillawell.platform.http import HttpClient
from vanillawell.platform.machines import PlatformMachines
from vanillawell.protocol.call_errors import NoAnswerError
from vanillawell.protocol.machine_calls import Machine, MachineState
from vanillawell.tests.executor_hosts import listen
from vanillawell.transport.asgi import read_body, send_json

VALID_MACHINE = {"machine": "m-1", "pool": "p", "state": "up", "id": "i-1", "zone": "a"}


async def _list(content: Any) -> list[Machine] | NoAnswerError:
    """Return the machines that the client reads from `content`, or its error."""

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


def test_machines_are_listed_with_their_executors() -> None:
    found = anyio.run(
        _list, {"machines": [VALID_MACHINE, {**VALID_MACHINE, "state": "down", "id": ""}]}
    )
    assert isinstance(found, list)
    assert [(item.state, item.executor) for item in found] == [
        (MachineState.UP, "i-1"),
        (MachineState.DOWN, ""),
    ]


@pytest.mark.parametrize(
    "content",
    [
        {},
        [],
        {"machines": [{"machine": "m-1"}]},
        {"machines": [{**VALID_MACHINE, "state": "retired"}]},
    ],
)
def test_a_malformed_list_counts_as_no_answer(content: Any) -> None:
    """The service answers with an unexpected document. Callers of the client handle NoAnswerError
    and continue without the list; any other error would terminate the owner and its successor."""
    assert isinstance(anyio.run(_list, content), NoAnswerError)
