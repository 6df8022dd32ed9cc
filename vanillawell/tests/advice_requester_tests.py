"""Test for which steps advice is requested, and that long-running tasks move with it in time."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio

from vanillawell import clock
from vanillawell.coordination.advice_requester import MAX_EXECUTORS_PER_CALL, AdviceRequester
from vanillawell.protocol.call_errors import NoAnswerError
from vanillawell.state.upkeep import SHORT_TASK_TIMEOUT
from vanillawell.state.work import Resources
from vanillawell.state.work_policy import AdviceRule, OrganisationLimits, Queue, Service
from vanillawell.tests.scheduler_cluster import Cluster, until, with_cluster
from vanillawell.tests.scheduler_documents import ADVICE_PREFIX
from vanillawell.tests.scheduler_documents import job as body_of_job
from vanillawell.tests.scheduler_documents import step as step_in_body
from vanillawell.tests.scheduling_builders import POOL, QUEUE, ShardHarness, facts, job, step

if TYPE_CHECKING:
    from collections.abc import Sequence

    from vanillawell.state.progress import Run
    from vanillawell.state.work import Job, TaskId

RULE = AdviceRule(0.005, 0.001, 3.0)

DEPARTURE_NOTICE = 3.0
"""Seconds for which a departing executor keeps running."""

MOVE_TIMEOUT = 1.6
"""Seconds within which a task is moved; well before the last moment, when it is stopped in any
case."""


class RecordingAdvice:
    """Allow all executors, and record the requests."""

    def __init__(self) -> None:
        self.requests: list[tuple[str, list[str]]] = []

    async def request_tickets(self, task: TaskId, executors: Sequence[str]) -> dict[str, str]:
        self.requests.append((task.job_id, sorted(executors)))
        return dict.fromkeys(executors, "ticket")


PLAIN_QUEUE = "plain"
"""Queue that requires no advice."""

NORTH_AT_MAXIMUM = {
    "north": OrganisationLimits("north", 1, Resources(cpu=1_000)),
    "south": OrganisationLimits("south", 1, Resources()),
}
"""Organisations of which one may run no more than one small task."""


def _make_harness(*names: str, **changes: Any) -> ShardHarness:
    """Return a shard on the running clock whose queue requires advice."""
    queues = {
        PLAIN_QUEUE: Queue(PLAIN_QUEUE, "h", "/p/", POOL, 0, 3, 1.6, 0.6, False),
        QUEUE: Queue(QUEUE, "h", "/q/", POOL, 0, 3, 1.6, 0.6, False, RULE),
        "other": Queue("other", "h", "/o/", "elsewhere", 0, 3, 1.6, 0.6, False, RULE),
    }
    services = {name: Service(name, False, False) for name in (POOL, "elsewhere")}
    harness = ShardHarness(queues=queues, services=services, **changes)
    harness.now = clock.read()
    for name in names:
        harness.register(facts(name))
    return harness


def _place_long_running(harness: ShardHarness) -> tuple[Job, Run]:
    """Place a long-running task whose tickets expire afterwards."""
    item = job(step(long_running=True))
    harness.admit(item)
    harness.shard.tickets[item.job_id, 0, 0] = {"i-0": "ticket"}
    (run,) = harness.place()
    harness.shard.tickets.clear()
    return item, run


def _collect_requests(harness: ShardHarness) -> list[tuple[str, list[str]]]:
    """Run the requester for a moment; return its requests."""
    advice = RecordingAdvice()
    _run_for_a_moment(AdviceRequester(harness.shard, advice, lambda: None))
    return advice.requests


def _run_for_a_moment(requester: AdviceRequester, seconds: float = 0.1) -> None:
    async def work() -> None:
        with anyio.move_on_after(seconds):
            await requester.run()

    anyio.run(work)


class SilentAdvice(RecordingAdvice):
    """Answer no request about one job, and record the requests."""

    def __init__(self, job_id: str) -> None:
        super().__init__()
        self._job_id = job_id

    async def request_tickets(self, task: TaskId, executors: Sequence[str]) -> dict[str, str]:
        tickets = await super().request_tickets(task, executors)
        if task.job_id == self._job_id:
            raise NoAnswerError("silent")
        return tickets


class StrictAdvice(RecordingAdvice):
    """Allow one executor, and record the requests."""

    def __init__(self, allowed: str) -> None:
        super().__init__()
        self._allowed = allowed

    async def request_tickets(self, task: TaskId, executors: Sequence[str]) -> dict[str, str]:
        await super().request_tickets(task, executors)
        return {self._allowed: "ticket"} if self._allowed in executors else {}


# Guards against a task that never starts: of a pool larger than one request, only executors that
# the first request leaves out may run it.
def test_executors_that_were_not_asked_about_are_asked_about_next() -> None:
    names = [f"i-{number:03}" for number in range(MAX_EXECUTORS_PER_CALL + 20)]
    harness = _make_harness(*names)
    harness.admit(job())
    advice = StrictAdvice(names[-1])
    _run_for_a_moment(AdviceRequester(harness.shard, advice, lambda: None))
    assert [len(executors) for _, executors in advice.requests] == [MAX_EXECUTORS_PER_CALL, 20]
    assert [run.executor for run in harness.place()] == [names[-1]]


def _first_requests(harness: ShardHarness, *jobs: Job, count: int) -> list[str]:
    """Return the jobs of the first requests for jobs that were handed in one after the other."""
    for item in jobs:
        harness.admit(item)
        harness.now += 0.01
    return [job_id for job_id, _ in _collect_requests(harness)[:count]]


# Guards against a job that never starts: advice expires unused, and is requested anew, for more
# jobs of another organisation than the service can answer for in that time.
def test_step_that_may_start_comes_before_steps_at_their_organisation_s_maximum() -> None:
    harness = _make_harness("i-0", organisations=NORTH_AT_MAXIMUM)
    blocked = [job(step(cpu=2_000)) for _ in range(4)]
    other = job(organisation="south")
    first, *rest = _first_requests(harness, *blocked, other, count=5)
    assert first == other.job_id
    assert sorted(rest) == sorted(item.job_id for item in blocked)


# Guards against the same behind jobs of its own organisation that find no room.
def test_step_that_may_start_comes_before_steps_without_room() -> None:
    harness = _make_harness("i-0")
    harness.admit(job(step(cpu=5_000, seconds=60.0), queue=PLAIN_QUEUE))
    harness.place()
    large = [job(step(cpu=5_000)), job(step(4, cpu=1_000, gang=True))]
    small = job()
    assert _first_requests(harness, *large, small, count=1) == [small.job_id]


# Guards against the same behind many jobs that may start, but for a reason that isn't known here.
def test_organisations_take_turns() -> None:
    harness = _make_harness("i-0")
    many, other = [job() for _ in range(8)], job(organisation="south")
    assert other.job_id in _first_requests(harness, *many, other, count=2)


# Guards against one step, about which the service doesn't answer, that keeps all others waiting.
def test_step_without_an_answer_lets_others_go_first() -> None:
    harness = _make_harness("i-0")
    silent, other = job(), job()
    harness.admit(silent, other)
    advice = SilentAdvice(silent.job_id)
    _run_for_a_moment(AdviceRequester(harness.shard, advice, lambda: None), 0.3)
    assert [job_id for job_id, _ in advice.requests[:2]] == [silent.job_id, other.job_id]


# Guards against calls without end for steps that no executor can ever run.
def test_no_advice_is_requested_about_executors_that_are_too_small_or_lack_the_label() -> None:
    harness = _make_harness("i-0")
    harness.register(facts("i-1", cpu=16_000, labels=frozenset({"special"})))
    labelled, large = job(step(required_label="special")), job(step(cpu=9_000))
    harness.admit(job(step(cpu=99_000)), job(step(required_label="none")), labelled, large)
    requests = dict(_collect_requests(harness))
    assert requests == {labelled.job_id: ["i-1"], large.job_id: ["i-1"]}


# Guards against calls without end about executors that are barred, since that does not change.
def test_barred_executor_is_asked_about_once_in_each_life() -> None:
    harness = _make_harness("i-0")
    harness.admit(job())
    advice = StrictAdvice("none")
    requester = AdviceRequester(harness.shard, advice, lambda: None)
    _run_for_a_moment(requester)
    _run_for_a_moment(requester)
    assert len(advice.requests) == 1
    harness.register(facts("i-0", incarnation=2))
    _run_for_a_moment(requester)
    assert len(advice.requests) == 2


def test_no_advice_is_requested_for_task_that_stays() -> None:
    """Each request takes the service's time, and tickets expire."""
    harness = _make_harness("i-0")
    _place_long_running(harness)
    assert _collect_requests(harness) == []


def test_advice_is_requested_ahead_for_long_running_task_on_departing_executor() -> None:
    """No task waits yet. If advice were requested only once the task is stopped, it would not be
    known that another executor may run it."""
    harness = _make_harness("i-0")
    item, run = _place_long_running(harness)
    harness.register(facts("i-1"))
    harness.register(facts("i-0", draining=True, remaining=4.0))
    assert not harness.shard.can_place_elsewhere(run, harness.now)
    assert _collect_requests(harness) == [(item.job_id, ["i-1"])]
    assert harness.shard.can_place_elsewhere(run, harness.now)


def test_advice_is_requested_ahead_for_long_running_task_on_cordoned_machine() -> None:
    harness = _make_harness("i-0")
    item, _ = _place_long_running(harness)
    harness.register(facts("i-1"))
    harness.shard.ledger.cordon_machine("m-i-0")
    assert _collect_requests(harness) == [(item.job_id, ["i-1"])]


def test_step_without_usable_executor_does_not_block_other_steps() -> None:
    """The only executor of a pool is leaving. Its overdue long-running task would come first in
    each check, and no step of another pool would get tickets."""
    harness = _make_harness("i-0")
    _place_long_running(harness)
    harness.register(facts("i-0", draining=True, remaining=4.0))
    harness.register(facts("e-0", service="elsewhere"))
    harness.now += 60.0
    other = job(queue="other")
    harness.admit(other)
    assert _collect_requests(harness) == [(other.job_id, ["e-0"])]


async def _start_long_running(built: Cluster, **fields: Any) -> None:
    """Start a long-running task of a queue that requires advice, and wait until its tickets have
    expired."""
    long_running = body_of_job(step_in_body(longRunning=True, **fields), spec={"seconds": 99})
    await built.members[0].call("POST", ADVICE_PREFIX + built.new_id(), long_running)
    await until(lambda: bool(built.hosts["i-0"].executor.running))
    await built.add_executor("i-1")
    await until(lambda: built.hosts["i-1"].executor.hold_calls > 0)
    await anyio.sleep(RULE.validity)


@with_cluster(executors=1)
async def test_long_running_task_that_needs_advice_is_moved_in_time(built: Cluster) -> None:
    """The task's tickets have long expired when its executor announces its departure. If it were
    moved only at the last moment, it would exceed the number of tasks its step lets be down, and
    have no time to start elsewhere."""
    await _start_long_running(built, maxUnavailable=1)
    built.drain("i-0", DEPARTURE_NOTICE)
    await until(lambda: bool(built.hosts["i-1"].executor.running), MOVE_TIMEOUT)
    built.leave("i-0")


@with_cluster(executors=1)
async def test_long_running_task_stays_while_advice_allows_no_other_executor(
    built: Cluster,
) -> None:
    """Another executor has free capacity but may not run the task. If the task were stopped early,
    it would be down for seconds in which it could still run."""
    built.machines.advised_executors = {"i-0"}
    await _start_long_running(built)
    built.drain("i-0", DEPARTURE_NOTICE)
    await anyio.sleep(MOVE_TIMEOUT)
    assert built.hosts["i-0"].executor.running
    built.leave("i-0")


@with_cluster(executors=1)
async def test_wave_moves_long_running_task_that_needs_advice_in_time(built: Cluster) -> None:
    """A wave cordons the machine of a long-running task whose tickets have long expired. The task
    must move as soon as another executor is known to be allowed, not when the wave's timeout
    ends."""
    await _start_long_running(built, maxUnavailable=1)
    machine = built.machines.machines[built.hosts["i-0"].machine]
    built.request_wave([machine.name], 60)
    await until(lambda: bool(built.hosts["i-1"].executor.running), SHORT_TASK_TIMEOUT / 2)
    await until(lambda: machine.upkeeps == 1, SHORT_TASK_TIMEOUT / 2)
