"""Test that an odd answer counts as none, and ends neither an owner nor an entry."""

from __future__ import annotations

from typing import Any

import anyio
import orjson
import pytest
from hypothesis import given

from vanillawell.platform.executors import PlatformExecutors, task_name
from vanillawell.platform.http import HttpAnswer
from vanillawell.platform.machines import PlatformAdvice, PlatformMachines
from vanillawell.protocol.call_errors import NoAnswerError
from vanillawell.protocol.executor_calls import HoldReport, OrderRefusedError, StartOrder, Target
from vanillawell.protocol.machine_calls import MachineDuty, UpkeepRefusedError
from vanillawell.state.work import TaskId
from vanillawell.tests.changed_documents import changed
from vanillawell.tests.scheduler_cluster import Cluster, with_cluster
from vanillawell.tests.scheduler_documents import PREFIX, job
from vanillawell.tests.scheduling_builders import ShardHarness, facts
from vanillawell.tests.scheduling_builders import job as job_of_shard
from vanillawell.tests.scheduling_builders import step as step_of_shard

TARGET = Target("e1", "127.0.0.1:1", 1)
TASK = TaskId("00000000000000aa", 0, 0, 0)
REPORT = {
    "clockMs": 482_113,
    "born": 1,
    "running": [["00000000000000aa.0.0.0", 2, "0b8c", 41, 7.5], ["other", 1, "", 100]],
    "finished": [[58, "00000000000000aa.0.0.9", 1, "done", ""]],
}
MACHINES = {
    "machines": [
        {"machine": "m", "pool": "p", "state": "up", "zone": "a", "id": "e1"},
        {"machine": "n", "pool": "p", "state": "down", "zone": "a"},
    ],
    "nextToken": "",
}


class FixedAnswer:
    """A client that gets the same answer to all calls."""

    def __init__(self, body: bytes, status: int = 200) -> None:
        self._answer = HttpAnswer(status, body)

    async def call(self, *_: Any, **__: Any) -> HttpAnswer:
        return self._answer


def _client(kind: Any, body: bytes, status: int = 200) -> Any:
    arguments = () if kind is PlatformExecutors else ("127.0.0.1:1",)
    return kind(FixedAnswer(body, status), *arguments)


# Guards against a value in an executor's report that fails in a later use, and with it the owner.
@given(changed(REPORT))
def test_changed_report_counts_as_no_answer_or_can_be_used(body: bytes) -> None:
    async def hold() -> HoldReport | None:
        try:
            return await _client(PlatformExecutors, body).hold(TARGET, 1, 0, None, 0.0)  # type: ignore[no-any-return]
        except NoAnswerError:
            return None

    report = anyio.run(hold)
    if report is None:
        return
    harness = ShardHarness(facts("e1"))
    item = job_of_shard(step_of_shard(10), job_id=TASK.job_id)
    harness.admit(item)
    harness.place()
    executor = harness.shard.ledger.executors["e1"]
    executor.begin_incarnation(report.incarnation, harness.now)
    harness.shard.apply_report(executor, report, harness.now, harness.now, harness.now)
    harness.place()
    orjson.dumps({"deadline": int((report.clock + 5) * 1000), "ends": executor.saved_end})


# Guards against a list of machines whose values fail as the list is used.
@given(changed(MACHINES))
def test_changed_list_of_machines_counts_as_no_answer_or_can_be_used(body: bytes) -> None:
    async def use() -> None:
        document = orjson.loads(body)
        if isinstance(document, dict) and document.get("nextToken"):
            return  # the stand-in has no other page
        try:
            machines = await _client(PlatformMachines, body).list_machines()
        except NoAnswerError:
            return
        orjson.dumps(sorted({item.name: item.pool + item.zone for item in machines}.items()))
        assert len({item.executor for item in machines}) <= len(machines)

    anyio.run(use)


# Guards against advice whose rows are none.
@given(changed({"good": [["e1", "ticket-1"], ["e2", "ticket-2"]]}))
def test_changed_advice_counts_as_no_answer_or_can_be_used(body: bytes) -> None:
    async def use() -> None:
        try:
            tickets = await _client(PlatformAdvice, body).request_tickets(TASK, ["e1"])
        except NoAnswerError:
            return
        assert all(isinstance(item, str) for pair in tickets.items() for item in pair)

    anyio.run(use)


# Guards against a refusal without a readable reason.
@pytest.mark.parametrize("body", [b"{}", b"[]", b"7", b'{"reason":[1]}', b'{"reason":"new"}'])
def test_refusal_without_a_known_reason_is_a_refusal(body: bytes) -> None:
    order = StartOrder(TASK, 1, "", 1.0, "", "")

    async def use() -> None:
        with pytest.raises(OrderRefusedError):
            await _client(PlatformExecutors, body, 409).start(TARGET, order, 1)
        with pytest.raises(UpkeepRefusedError):
            await _client(PlatformMachines, body, 409).move("m", "p", MachineDuty("o", 1))

    anyio.run(use)
    assert task_name(TASK).startswith(TASK.job_id)


# Guards against a caller's time that no clock can add.
@with_cluster()
async def test_odd_time_of_a_caller_is_not_heeded(built: Cluster) -> None:
    (member,) = built.members
    for wait in ("nan", "inf", "-inf", "1e308", "-5", "soon"):
        reply = await member.call("POST", PREFIX + built.new_id(), job(), wait_ms=wait)  # type: ignore[arg-type]
        assert reply.status == 200
