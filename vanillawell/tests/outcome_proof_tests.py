"""Test that callers receive complete answers to their own requests, and correct verdicts."""

from __future__ import annotations

import time
from base64 import b64encode
from collections import Counter
from typing import TYPE_CHECKING, Any

import anyio
import pytest

from vanillawell.standins.processes import wait_until
from vanillawell.tests.builders import QUICK_TIMING, uuid7
from vanillawell.tests.caller import Call, Callers
from vanillawell.tests.fleet_base import (
    SteadyCallers,
    run_async,
    run_during_load,
    running_fleet,
    runs_by_mark,
    send_all,
    send_one,
    units_held,
    wait_for_answers,
)

if TYPE_CHECKING:
    from pathlib import Path

    from vanillawell.standins.fleet import Fleet
    from vanillawell.tests.caller import Reply

TWO_ZONES: dict[str, Any] = {
    "zones": 2,
    "entries_per_zone": 1,
    "executors_per_service": 6,
    "organisations": {"guild": {"limit": 100}},
}


CLAIM_PREFIX = b64encode(b"/vanillawell/claim").decode()
"""Prefix of the key of a claim in a call to the store."""


def new_key() -> str:
    return uuid7(int(time.time() * 1000))


def check_replies(fleet: Fleet, replies: list[Reply]) -> Counter[str]:
    """Check every reply against the runs of the backend servers; return a count of each outcome."""
    runs = runs_by_mark(fleet)
    for reply in replies:
        mark = reply.call.mark
        if reply.status == 200:
            assert reply.body.endswith(reply.call.body), "received the answer to another request"
            assert runs.get(mark, 0) >= 1
        if reply.verdict == "not-run":
            assert runs.get(mark, 0) == 0, f"{reply.problem} said not-run and {mark} ran"
        if reply.call.method == "POST":
            assert runs.get(mark, 0) <= 1, f"{mark} ran {runs[mark]} times"
    return Counter(reply.verdict or reply.connection_error for reply in replies)


def mixed_call(number: int) -> Call:
    """Return a read or a stamp with a unique body, which its own answer repeats."""
    return Call(
        method="POST" if number % 2 else "GET",
        mark=f"m{number}",
        body=f"body-{number}".encode(),
        run_seconds=0.01 + number % 5 * 0.02,
        timeout=2.0,
    )


def test_verdicts_are_correct_while_connections_to_backend_servers_fail(tmp_path: Path) -> None:
    """Connections to backend servers are cut after the request was sent, or during the answer.

    A caller retries after the verdict "not run"; if the request had run, a stamp would be issued
    twice. A caller that accepts a partial answer, or one to another request, uses a wrong record.
    """
    with running_fleet(tmp_path, **TWO_ZONES) as fleet:
        callers = SteadyCallers(list(fleet.entries.values()), mixed_call, open_requests=60)

        def script() -> None:
            wait_for_answers(callers, 100, "requests are answered before any fault")
            fleet.fault("a", "cut-after-request", link="executor", count=15)
            wait_for_answers(callers, 100, "requests are answered while connections are cut")
            fleet.fault("b", "half-answer", link="executor", count=15)
            wait_for_answers(callers, 100, "requests are answered while answers break off")
            fleet.fault("c", "cut", link="executor-check-1")
            wait_for_answers(callers, 100, "requests are answered without one executor")
            fleet.clear("c")

        kinds = check_replies(fleet, run_during_load(callers, script))
        assert kinds["may-have-run"] > 0, "no fault affected a stamp"
        counts = fleet.network_counts()
        assert counts["struck cut-after-request"] == 15
        assert counts["struck half-answer"] == 15


def test_an_overloaded_organisation_with_short_deadlines_still_gets_answers(tmp_path: Path) -> None:
    """Callers send several times the requests that the limit allows, with short deadlines.

    If each request started shortly before its deadline, every slot would be busy with requests
    whose callers are about to disconnect: all slots would be used and no caller would be answered.
    """
    organisations = {"guild": {"limit": 1}}
    timing = QUICK_TIMING | {"longest_request": 1.5}
    with running_fleet(tmp_path, organisations=organisations, timing=timing) as fleet:

        def make(number: int) -> Call:
            return Call(mark=f"m{number}", run_seconds=1.0, timeout=3.5)

        callers = SteadyCallers(list(fleet.entries.values()), make, open_requests=8)
        replies = run_during_load(
            callers,
            lambda: wait_until(lambda: len(fleet.backend_runs()) >= 12, "12 requests have run"),
        )
        answered = sum(reply.status == 200 for reply in replies)
        assert answered >= 8, "slots were used for requests that could not finish in time"


def test_refusals_of_an_overloaded_fleet_are_correct(tmp_path: Path) -> None:
    """Callers send several times the requests that the pool can run.

    Refusals must be immediate, with the verdict "not run" and a delay after which to retry; a
    refused request must not run later, when no caller waits for it any more.
    """
    with running_fleet(
        tmp_path, **TWO_ZONES | {"executors_per_service": 1}, fleet_settings={"queue_length": 10}
    ) as fleet:
        calls = [Call(method="POST", mark=f"m{n}", run_seconds=0.2, timeout=1.0) for n in range(90)]
        entries = list(fleet.entries.values())
        replies = send_all([(entries[n % 2], call) for n, call in enumerate(calls)])
        kinds = check_replies(fleet, replies)
        assert kinds["not-run"] > 20
        for reply in replies:
            if reply.problem in ("queue-full", "cannot-finish-in-time"):
                assert reply.header("retry-after")


def resend_through_other_entry(fleet: Fleet, key: str, mark: str) -> Reply:
    """Retry a stamp through the other entry until its outcome is final."""
    call = Call(method="POST", mark=mark, body=b"stamp", idempotency_key=key)
    other = fleet.entries["entry-2-1"]
    wait_until(lambda: send_one(other, call).problem != "in-progress", "the outcome is final")
    return send_one(other, call)


def start_stamp(fleet: Fleet, key: str, mark: str, seconds: float) -> None:
    """Send a stamp from a caller that disconnects as soon as the stamp runs."""
    call = Call(
        method="POST", mark=mark, body=b"stamp", idempotency_key=key, run_seconds=seconds, timeout=8
    )

    async def send_and_leave() -> None:
        async with Callers() as callers, anyio.create_task_group() as tasks:
            tasks.start_soon(callers.send, fleet.entries["entry-1-1"], call)
            running = lambda: bool(fleet.backend_counts()["running"].get("guild"))  # noqa: E731
            await anyio.to_thread.run_sync(wait_until, running, "the stamp runs")
            tasks.cancel_scope.cancel()

    run_async(send_and_leave)


def test_a_stamp_retried_after_its_entry_was_killed_runs_once(tmp_path: Path) -> None:
    """The entry that accepted a stamp is killed while it runs; the caller retries elsewhere.

    The second entry cannot know whether the stamp ran. It must not run it again, and must report
    the outcome as unknown.
    """
    with running_fleet(tmp_path, **TWO_ZONES) as fleet:
        key = new_key()
        start_stamp(fleet, key, "stamp", 1.0)
        fleet.entries["entry-1-1"].process.kill()
        reply = resend_through_other_entry(fleet, key, "stamp")
        assert (reply.status, reply.verdict) == (409, "may-have-run")
        wait_until(lambda: runs_by_mark(fleet) == {"stamp": 1}, "the first run ends")


def test_a_stamp_retried_while_its_entry_is_paused_runs_once(tmp_path: Path) -> None:
    """The entry that accepted a stamp is paused, the caller retries elsewhere, and it resumes.

    Without a claim both entries could run the stamp.
    """
    with running_fleet(tmp_path, **TWO_ZONES) as fleet:
        key = new_key()
        start_stamp(fleet, key, "stamp", 0.5)
        first = fleet.entries["entry-1-1"].process
        first.pause()
        call = Call(method="POST", mark="stamp", body=b"stamp", idempotency_key=key)
        assert send_one(fleet.entries["entry-2-1"], call).verdict == "may-have-run"
        first.resume()
        reply = resend_through_other_entry(fleet, key, "stamp")
        assert (reply.status, reply.verdict) == (200, "ran")
        assert runs_by_mark(fleet) == {"stamp": 1}


def test_a_stamp_sent_through_two_entries_at_once_runs_once(tmp_path: Path) -> None:
    """A caller sends the same stamps through both entries at the same time."""
    with running_fleet(tmp_path, **TWO_ZONES) as fleet:
        entries = list(fleet.entries.values())
        keys = [new_key() for _ in range(25)]
        calls = [
            Call(method="POST", mark=f"m{n}", body=b"s", idempotency_key=key)
            for n, key in enumerate(keys)
        ]
        replies = send_all([(entry, call) for call in calls for entry in entries])
        runs = runs_by_mark(fleet)
        assert runs == {f"m{n}": 1 for n in range(25)}
        assert all(reply.status in (200, 409) for reply in replies)


def test_a_stamp_retried_after_its_zone_was_cut_off_runs_once(tmp_path: Path) -> None:
    """A zone loses the store and all peers between two attempts to send a stamp.

    The first entry completes it but cannot record that; the second one knows only that it was
    started. Once the connections are restored, the caller must receive the stored answer.
    """
    with running_fleet(tmp_path, **TWO_ZONES) as fleet:
        key = new_key()
        start_stamp(fleet, key, "stamp", 1.0)
        cut_off_zone_1(fleet)
        reply = resend_through_other_entry(fleet, key, "stamp")
        assert (reply.status, reply.verdict) == (409, "may-have-run")
        late_call = Call(method="POST", mark="late", body=b"late", idempotency_key=new_key())
        refused = send_one(fleet.entries["entry-1-1"], late_call)
        assert (refused.problem, refused.verdict) == ("store-unavailable", "not-run")
        assert send_one(fleet.entries["entry-2-1"], late_call).status == 200
        for name in ("store", "in", "out"):
            fleet.clear(name)
        wait_until(
            lambda: resend_through_other_entry(fleet, key, "stamp").status == 200,
            "its answer is replayed",
        )
        wait_until(
            lambda: send_one(fleet.entries["entry-1-1"], late_call).status == 200,
            "both entries replay its answer",
        )
        assert runs_by_mark(fleet) == {"stamp": 1, "late": 1}


def cut_off_zone_1(fleet: Fleet) -> None:
    """Disconnect zone 1 from the store and from the other zone's entry."""
    fleet.fault("store", "cut", link="store-1")
    fleet.fault("out", "cut", link="peer", source_zone=1)
    fleet.fault("in", "cut", link="peer", target_zone=1)


def test_stamps_are_refused_as_not_run_while_the_store_is_down(tmp_path: Path) -> None:
    """While the store is down, a stamp with a key cannot be protected against a second run."""
    with running_fleet(tmp_path, **TWO_ZONES) as fleet:
        entry = fleet.entries["entry-1-1"]
        wait_until(lambda: units_held(entry) >= 1, "the entry holds units of the limit")
        fleet.store_faults(down=True)
        calls = [Call(method="POST", mark=f"m{n}", idempotency_key=new_key()) for n in range(5)]
        replies = send_all([(entry, call) for call in calls])
        assert {(reply.problem, reply.verdict) for reply in replies} == {
            ("store-unavailable", "not-run")
        }
        assert send_one(entry, Call(method="POST", mark="free")).status == 200
        fleet.store_faults(down=False)
        for call in calls:
            wait_until(lambda c=call: send_one(entry, c).status == 200, "it runs after the outage")  # type: ignore[misc]
        assert runs_by_mark(fleet) == {"free": 1} | {f"m{n}": 1 for n in range(5)}


def test_a_claim_whose_answer_was_lost_is_recognised(tmp_path: Path) -> None:
    """The store applies a claim and the connection breaks before its answer arrives.

    If the entry mistook the claim for another entry's, the stamp would be refused as in progress
    until its key expires. Reading the claim back identifies it, and the stamp runs immediately.
    """
    with running_fleet(tmp_path, **TWO_ZONES) as fleet:
        call = Call(method="POST", mark="stamp", idempotency_key=new_key())
        fleet.fault("lost", "cut-after-request", link="store", contains=CLAIM_PREFIX, count=1)
        assert send_one(fleet.entries["entry-1-1"], call).status == 200
        assert runs_by_mark(fleet) == {"stamp": 1}


@pytest.mark.parametrize("again_through", ["entry-1-1", "entry-2-1"])
def test_a_claim_that_cannot_be_read_back_is_deleted(tmp_path: Path, again_through: str) -> None:
    """The store applies a claim, and both its answer and the subsequent read are lost.

    The stamp is refused as not run. Retried through either entry, it must run exactly once.
    """
    with running_fleet(tmp_path, **TWO_ZONES) as fleet:
        call = Call(method="POST", mark="stamp", idempotency_key=new_key())
        fleet.fault("lost", "cut-after-request", link="store", contains=CLAIM_PREFIX, count=2)
        reply = send_one(fleet.entries["entry-1-1"], call)
        assert (reply.problem, reply.verdict) == ("store-unavailable", "not-run")
        retry_entry = fleet.entries[again_through]
        wait_until(lambda: send_one(retry_entry, call).status == 200, "the stamp runs")
        assert runs_by_mark(fleet) == {"stamp": 1}


def test_a_large_answer_is_streamed_and_a_cut_is_visible(tmp_path: Path) -> None:
    """The connection breaks during an answer that is too large for an entry to buffer.

    The HTTP framing must show the caller that the answer is incomplete.
    """
    with running_fleet(tmp_path, **TWO_ZONES) as fleet:
        fleet.behave([], answer_bytes=8_000_000, chunked=True)
        entry = fleet.entries["entry-1-1"]
        assert len(send_one(entry, Call()).body) == 8_000_000
        fleet.fault("late-cut", "cut-in-answer", link="executor", after=1_000_000, count=1)
        reply = send_one(entry, Call(method="POST"))
        assert reply.connection_error == "RemoteProtocolError"


def test_a_failing_executor_does_not_attract_all_load(tmp_path: Path) -> None:
    """One executor fails every request immediately, so that it always appears idle.

    Least-loaded routing would send it most requests, and most callers would receive errors.
    """
    with running_fleet(tmp_path, **TWO_ZONES) as fleet:
        fleet.behave(["check-2"], fail_fast=True)
        callers = SteadyCallers(list(fleet.entries.values()), mixed_call, open_requests=20)

        def script() -> None:
            wait_for_answers(callers, 400, "requests are answered by the other executors")

        replies = run_during_load(callers, script)
        assert fleet.backend_counts()["started"]["check-2"] < len(replies) / 10
        failed = [reply for reply in replies if reply.status != 200]
        assert len(failed) < 25
        fleet.behave(["check-2"], fail_fast=False)
        more = SteadyCallers(list(fleet.entries.values()), mixed_call, open_requests=20)

        def recover() -> None:
            started = fleet.backend_counts()["started"]["check-2"]
            wait_until(
                lambda: fleet.backend_counts()["started"]["check-2"] > started + 20,
                "the executor is used again",
            )

        run_during_load(more, recover)


def test_unresponsive_connections_to_executors_are_replaced(tmp_path: Path) -> None:
    """A device between entry and backend servers drops the state of all open connections.

    New connections work, while the old ones never respond or fail. Callers would wait until their
    deadlines for as long as old connections are reused.
    """
    timing = QUICK_TIMING | {"longest_request": 10.0}
    with running_fleet(tmp_path, **TWO_ZONES | {"timing": timing}) as fleet:
        callers = SteadyCallers(
            list(fleet.entries.values()),
            lambda n: Call(mark=f"m{n}", run_seconds=0.05, timeout=6.0),
            open_requests=10,
        )

        def script() -> None:
            wait_for_answers(callers, 100, "requests are answered")
            fleet.fault("lost", "silence-old", link="executor")
            wait_for_answers(callers, 300, "requests are answered over new connections")

        replies = run_during_load(callers, script)
        assert all(reply.status == 200 for reply in replies)
