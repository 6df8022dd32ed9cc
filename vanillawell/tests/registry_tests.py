"""Test which entries of the registry name executors, and that others change nothing."""

from __future__ import annotations

import logging
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import orjson
import pytest

from vanillawell.coordination.registry import RegistryWatch
from vanillawell.platform.documents import KEYS, UnreadableDocumentError, read_executor
from vanillawell.protocol.store import Change, Changes, KeyValue, Listing
from vanillawell.state.progress import RunPhase
from vanillawell.state.registrations import MAX_REMEMBERED, IgnoredBecause, Registrations
from vanillawell.tests.registration_documents import registration
from vanillawell.tests.scheduler_cluster import Cluster, until, with_cluster
from vanillawell.tests.scheduler_documents import config
from vanillawell.tests.scheduler_documents import job as body_of_job
from vanillawell.tests.scheduling_builders import POOL, QUEUE, ShardHarness, facts, job, step

if TYPE_CHECKING:
    from vanillawell.state.progress import Run

REQUIRED = [
    "service",
    "address",
    "zone",
    "version",
    "slots",
    "state",
    "coldRemainingMs",
    "seq",
    "machine",
    "born",
    "capacity",
    "labels",
]


class WatchedShard:
    """A shard whose executors are those of a registry that the test writes."""

    def __init__(self, *named_services: str) -> None:
        self.harness = ShardHarness()
        self.shard = self.harness.shard
        self.services = set(named_services)
        self._revision = 1
        documents = SimpleNamespace(executor=read_executor)
        ports: Any = SimpleNamespace(documents=documents, store=None)
        self.watch = RegistryWatch(
            ports, KEYS.executors, self.shard, lambda: self.services, lambda: None
        )
        self.watch.apply_services()

    def write(self, name: str, value: bytes) -> None:
        """Write an entry, as its watch tells."""
        self._revision += 1
        change = Change(KEYS.executors + name, value, self._revision)
        self.watch._apply_changes(Changes(self._revision, (change,)))

    def remove(self, name: str) -> None:
        """Remove an entry."""
        self._revision += 1
        change = Change(KEYS.executors + name, None, self._revision)
        self.watch._apply_changes(Changes(self._revision, (change,)))

    def list(self, **values: bytes) -> None:
        """List all entries anew."""
        self._revision += 1
        items = (
            KeyValue(KEYS.executors + name, value, self._revision) for name, value in values.items()
        )
        self.watch._apply_listing(Listing(self._revision, tuple(items)))

    def start_task(self, name: str) -> Run:
        """Register an executor that answers, and start a task on it."""
        self.write(name, registration(machine=f"m-{name}"))
        self.shard.ledger.executors[name].contacted = True
        self.harness.admit(job(step()))
        (run,) = self.harness.place()
        return run

    def is_unchanged(self, run: Run) -> bool:
        """Return whether a run is still charged to an executor that is used as before."""
        executor = self.shard.ledger.executors[run.executor]
        is_used = executor.registered and executor.accepts_tasks(self.harness.now)
        return self.shard.ledger.is_charged(run) and run.phase is RunPhase.RUNNING and is_used

    def count_ignored(self, reason: IgnoredBecause) -> int:
        """Return the number of present entries that are ignored for a reason."""
        return self.shard.registrations.count_ignored()[reason]


def test_complete_entry_names_an_executor() -> None:
    assert read_executor("servers/i-0", registration()).executor == "i-0"


@pytest.mark.parametrize("field", REQUIRED)
@pytest.mark.parametrize("value", [None, {}, True])
def test_entry_with_a_field_missing_or_of_another_type_names_no_executor(
    field: str, value: object
) -> None:
    with pytest.raises(UnreadableDocumentError):
        read_executor("servers/i-0", registration(**{field: value}))


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "up"},
        {"address": "nowhere"},
        {"slots": "8"},
        {"seq": "1"},
        {"born": "1"},
        {"born": 1.5},
        {"coldRemainingMs": "0"},
        {"labels": [1]},
        {"machine": ""},
        {"capacity": {"cpu": "8000", "memMb": 1, "gpu": 0}},
        {"capacity": {"cpu": 8000}},
        {"state": "draining"},
    ],
)
def test_entry_with_a_value_of_another_type_or_unknown_state_names_no_executor(
    changes: dict[str, object],
) -> None:
    with pytest.raises(UnreadableDocumentError):
        read_executor("servers/i-0", registration(**changes))


FOREIGN = [
    registration(service="node-exporter", machine="m-i-0", born=9),
    registration(service="node-exporter", machine="m-i-0", born=9, slots=None),
    registration(machine="m-i-0", born=9, coldRemainingMs=None),
    registration(machine="m-i-0", born=9, seq="9"),
    registration(machine="m-i-0", born=9, state="up"),
    b"\xff\x00 no document",
]


@pytest.mark.parametrize("foreign", FOREIGN)
def test_entry_of_another_writer_that_names_a_machine_in_use_changes_nothing(
    foreign: bytes,
) -> None:
    """If it counted as the machine's next executor, all tasks of the one that runs there would
    start again elsewhere while they run on."""
    watched = WatchedShard(POOL)
    run = watched.start_task("i-0")
    watched.write("agent-7", foreign)
    assert watched.is_unchanged(run)
    assert set(watched.shard.ledger.executors) == {"i-0"}
    watched.remove("agent-7")
    assert watched.is_unchanged(run)


@pytest.mark.parametrize("foreign", FOREIGN)
def test_entry_of_another_writer_under_the_id_of_an_executor_changes_nothing(
    foreign: bytes,
) -> None:
    """The executor writes its own entry again within seconds. Until then it is neither replaced nor
    unregistered, by the change or by a listing."""
    watched = WatchedShard(POOL)
    run = watched.start_task("i-0")
    known = watched.shard.ledger.executors["i-0"].facts
    watched.write("i-0", foreign)
    assert watched.is_unchanged(run)
    watched.list(**{"i-0": foreign})
    assert watched.is_unchanged(run)
    assert watched.shard.ledger.executors["i-0"].facts == known


def test_ignored_entry_is_logged_once_and_counted_until_it_is_removed(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Writers renew their entries every second; a line for each would fill the log."""
    caplog.set_level(logging.INFO)
    watched = WatchedShard(POOL)
    for sequence in range(1, 4):
        watched.write("agent-7", registration(service="other", seq=sequence))
        watched.write("agent-8", registration(slots=None, seq=sequence))
    messages = [item.message for item in caplog.records]
    assert messages == [
        "executor registration of unknown service",
        "executor registration unreadable",
    ]
    assert watched.count_ignored(IgnoredBecause.UNKNOWN_SERVICE) == 1
    assert watched.count_ignored(IgnoredBecause.UNREADABLE) == 1
    watched.remove("agent-7")
    watched.list(**{"i-0": registration()})
    assert not watched.shard.registrations.count_ignored()


def test_entry_counts_once_a_configuration_names_its_service() -> None:
    """The registry may be listed before the configuration arrives. No entry is written anew because
    of it, so that an executor that was dropped would stay unused."""
    watched = WatchedShard()
    watched.list(**{"i-0": registration()})
    assert not watched.shard.ledger.executors
    watched.services.add(POOL)
    watched.watch.apply_services()
    assert watched.shard.ledger.executors["i-0"].registered
    assert not watched.shard.registrations.count_ignored()


def test_entry_that_was_replaced_meanwhile_does_not_count_later() -> None:
    watched = WatchedShard()
    watched.write("i-0", registration(service="late"))
    watched.write("i-0", registration(service="late", slots=None))
    watched.write("i-1", registration(service="late"))
    watched.remove("i-1")
    watched.services.add("late")
    watched.watch.apply_services()
    assert not watched.shard.ledger.executors


def test_executors_of_a_dropped_service_still_count() -> None:
    """Their tasks run on, and an owner has to call them to renew their leases."""
    watched = WatchedShard(POOL)
    run = watched.start_task("i-0")
    watched.services.clear()
    watched.watch.apply_services()
    watched.list(**{"i-0": registration(), "i-1": registration(machine="m-i-1")})
    assert watched.is_unchanged(run)
    assert watched.shard.ledger.executors["i-1"].registered


def test_service_of_a_queue_with_jobs_is_known_without_a_configuration_that_names_it() -> None:
    """The configuration has dropped queue and service, and the owner is replaced. The new one knows
    the queue from the stored rules, and its tasks still run."""
    before = ShardHarness(facts("i-0"))
    before.admit(job())
    watched = WatchedShard()
    watched.shard.restore_queue_rules({QUEUE: before.shard.queues.in_use()[QUEUE]})
    watched.harness.admit(job())
    watched.list(**{"i-0": registration()})
    assert watched.shard.ledger.executors["i-0"].registered


@with_cluster(executors=1)
async def test_executor_registered_before_its_service_is_configured_is_used(
    built: Cluster,
) -> None:
    """A new pool starts before the configuration that names it."""
    await built.add_executor("i-early")
    shard = built.members[0].node.owned_shard
    assert shard is not None
    built.store.delete("servers/i-early")
    await until(lambda: "i-early" not in shard.ledger.executors)
    built.register("i-early", service="new")
    await until(lambda: bool(shard.registrations.count_ignored()))
    route = {**config()["routes"][0], "name": "new", "prefix": "/new/", "service": "new"}
    built.store.put_document("op/config", config(2, routes=[route], services=[{"name": "new"}]))
    await until(lambda: "i-early" in shard.ledger.executors)
    job_id = built.new_id()
    reply = await built.members[0].call("POST", "/new/" + job_id, body_of_job())
    assert reply.status == 200
    await until(lambda: built.hosts["i-early"].executor.start_count == 1)


def test_number_of_remembered_reports_is_bounded() -> None:
    """A writer that uses a new key each time must not fill the owner's memory."""
    registrations = Registrations()
    for number in range(MAX_REMEMBERED + 1):
        assert registrations.is_first_report(f"k-{number}", "why")
    assert not registrations.is_first_report(f"k-{MAX_REMEMBERED}", "why")
    assert registrations.is_first_report("k-0", "why")


def test_unknown_fields_are_no_reason_to_ignore_an_entry() -> None:
    """The platform may add fields."""
    document = {**orjson.loads(registration()), "clockMs": 482113, "extra": {"a": 1}}
    assert read_executor("servers/i-0", orjson.dumps(document)).executor == "i-0"
