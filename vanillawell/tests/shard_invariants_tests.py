"""Apply random events to a shard and check its invariants after each of them.

Jobs are admitted and cancelled; runs end in every way; executors crash, restart under their id,
become unresponsive until their lease expires, and return; orders stay unanswered; availability
zones are evacuated and taken back, also between a decision and its order.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from vanillawell.protocol.executor_calls import HoldReport, ReportedRun
from vanillawell.state.executors import ExecutorFacts
from vanillawell.state.progress import Run, RunPhase
from vanillawell.state.work import NO_RESOURCES, Ending, JobState, Resources, Step
from vanillawell.state.work_policy import OrganisationLimits
from vanillawell.tests.scheduling_builders import ShardHarness, facts, job

EXECUTOR_CPU = 4_000
ORGANISATION_MAXIMUM_CPU = 6_000
ATTEMPTS = 3

LEASE_DURATION = 5.0
"""Seconds for which executors continue their runs without a renewal."""

ZONES = {"i-0": "a", "i-1": "b", "i-2": "b"}
"""Availability zone of each executor."""

EVACUATIONS = st.sets(st.sampled_from(("a", "b"))).map(frozenset)

STEPS = st.lists(
    st.builds(
        Step,
        count=st.integers(1, 4),
        need=st.builds(Resources, st.integers(200, 2_000), st.just(10)),
        estimate=st.just(1.0),
        gang=st.booleans(),
        most_per_executor=st.integers(0, 2),
        long_running=st.sampled_from((False, False, False, True)),
        fills=st.sampled_from((False, False, True)),
        speculative=st.booleans(),
    ),
    min_size=1,
    max_size=3,
)


def _may_run_twice(run: Run) -> bool:
    spec = run.task.step.spec
    return spec.speculative and not spec.gang and not spec.long_running


class ShardMachine(RuleBasedStateMachine):
    """Random events on one shard of three executors."""

    @initialize()
    def begin(self) -> None:
        limits = {
            "north": OrganisationLimits("north", 1, Resources(ORGANISATION_MAXIMUM_CPU)),
            "south": OrganisationLimits("south", 1, NO_RESOURCES),
        }
        self.incarnations = Counter(dict.fromkeys(ZONES, 1))
        self.harness = ShardHarness(*map(self._facts, ZONES), organisations=limits)
        self.shard = self.harness.shard
        self.evacuated: frozenset[str] = frozenset()
        self.starts: list[Run] = []
        self.done: set[object] = set()
        self.unconfirmed: set[Run] = set()
        """Runs whose order may still be executed, whatever the shard assumes."""

    def _runs(self, *phases: RunPhase) -> list[Run]:
        return [run for run in self.shard.ledger.runs() if run.phase in phases]

    @rule(steps=STEPS, chained=st.booleans(), organisation=st.sampled_from(("north", "south")))
    def admit(self, steps: list[Step], chained: bool, organisation: str) -> None:
        linked = [
            replace(item, after=(number - 1,) if chained and number else ())
            for number, item in enumerate(steps)
        ]
        self.harness.admit(job(*linked, organisation=organisation))

    def _facts(self, name: str) -> ExecutorFacts:
        incarnation = self.incarnations[name]
        return facts(name, EXECUTOR_CPU, incarnation=incarnation, zone=ZONES[name])

    @rule(seconds=st.floats(0.01, 3.0))
    def place(self, seconds: float) -> None:
        self.harness.now += seconds
        before = set(self.shard.ledger.runs())
        for run in self.harness.place():
            assert run not in before
            self._check_start(run)
            self.starts.append(run)
        assert not self._runs(RunPhase.PLANNED)

    @rule(zones=EVACUATIONS)
    def evacuate(self, zones: frozenset[str]) -> None:
        """Evacuate these zones and take all others back."""
        self.evacuated = zones
        self.shard.ledger.evacuate(zones)

    @rule(zones=EVACUATIONS)
    def evacuate_before_orders(self, zones: frozenset[str]) -> None:
        """Evacuate zones after starts were decided and before they are ordered."""
        planned = self.harness.plan()
        self.evacuate(zones)
        for run in self.harness.order(planned):
            self._check_zone(run)
            self.starts.append(run)
        assert not self._runs(RunPhase.PLANNED)

    def _check_zone(self, run: Run) -> None:
        assert ZONES[run.executor] not in self.evacuated

    def _check_start(self, run: Run) -> None:
        task, step = run.task, run.task.step
        record = step.record
        assert not record.state.final
        assert task.task_id not in self.done
        if not _may_run_twice(run):
            assert all(other.task is not task for other in self.unconfirmed)
        steps = record.occurrences[step.occurrence]
        assert all(not steps[number].left for number in step.spec.after)
        if not step.spec.long_running:
            assert task.failures < ATTEMPTS
        executor = self.shard.ledger.executors[run.executor]
        assert executor.registered and not executor.facts.draining
        self._check_zone(run)
        if step.spec.gang:
            assert all(other.run and other.run.number == run.number for other in step.tasks)

    @precondition(lambda self: self._runs(RunPhase.RUNNING))
    @rule(data=st.data(), ending=st.sampled_from((Ending.DONE, Ending.FAILED, Ending.STOPPED)))
    def end(self, data: st.DataObject, ending: Ending) -> None:
        run = data.draw(st.sampled_from(self._runs(RunPhase.RUNNING)))
        if ending is Ending.DONE and not run.task.step.spec.long_running:
            self.done.add(run.task.task_id)
        self.harness.end(run, ending)

    @precondition(lambda self: self._runs(RunPhase.RUNNING))
    @rule(data=st.data())
    def lose_answer(self, data: st.DataObject) -> None:
        run = data.draw(st.sampled_from(self._runs(RunPhase.RUNNING)))
        run.enter_phase(RunPhase.UNCERTAIN, self.harness.now)
        self.unconfirmed.add(run)

    @precondition(lambda self: self._runs(RunPhase.UNCERTAIN))
    @rule(data=st.data())
    def report_without_run(self, data: st.DataObject) -> None:
        """Let an executor report before a stop of an unanswered order is confirmed."""
        run = data.draw(st.sampled_from(self._runs(RunPhase.UNCERTAIN)))
        executor = self.shard.ledger.executors[run.executor]
        running = [
            ReportedRun(other.task.task_id, other.number, "", 100, 0.0)
            for other in executor.runs.values()
            if other is not run
        ]
        now = self.harness.now = self.harness.now + 0.1
        report = HoldReport(0.0, executor.facts.incarnation, running, [])
        self.shard.apply_report(executor, report, now, now, now)

    @precondition(lambda self: self._runs(RunPhase.UNCERTAIN))
    @rule(data=st.data())
    def confirm_stop(self, data: st.DataObject) -> None:
        """Confirm a stop, then let the executor report without the run."""
        run = data.draw(st.sampled_from(self._runs(RunPhase.UNCERTAIN)))
        run.stop_confirmed = self.harness.now
        self.unconfirmed.discard(run)
        executor = self.shard.ledger.executors[run.executor]
        now = self.harness.now = self.harness.now + 0.1
        self.shard.apply_report(
            executor, HoldReport(0.0, executor.facts.incarnation, [], []), now, now, now
        )

    @rule(name=st.sampled_from(("i-0", "i-1", "i-2")))
    def restart(self, name: str) -> None:
        """Crash an executor; its next incarnation reports no runs."""
        self.incarnations[name] += 1
        self._discard_unconfirmed(name)
        executor = self.harness.register(self._facts(name))
        now = self.harness.now = self.harness.now + 0.1
        self.shard.apply_report(
            executor, HoldReport(0.0, self.incarnations[name], [], []), now + 0.01, now + 0.02, now
        )

    @rule(name=st.sampled_from(("i-0", "i-1", "i-2")), expired=st.booleans())
    def unregister(self, name: str, expired: bool) -> None:
        executor = self.shard.ledger.executors.get(name)
        if executor is None:
            return
        self.shard.ledger.unregister(name)
        executor.lease_expires_at = self.harness.now + (0.0 if expired else LEASE_DURATION)
        self._expire()

    def _expire(self) -> None:
        """Renew the leases of responsive executors, as their drivers do, and let others expire."""
        now = self.harness.now
        for executor in self.shard.ledger.executors.values():
            if executor.registered and executor.unresponsive_since is None:
                executor.lease_expires_at = now + LEASE_DURATION
            elif executor.lease_expires_at <= now:
                self._discard_unconfirmed(executor.name)
        self.shard.expire(now, now)

    @rule(name=st.sampled_from(("i-0", "i-1", "i-2")))
    def disconnect(self, name: str) -> None:
        """Interrupt the connection to an executor, which continues to run."""
        executor = self.shard.ledger.executors.get(name)
        if executor is None or executor.unresponsive_since is not None:
            return
        executor.mark_unresponsive()
        executor.unresponsive_since = self.harness.now
        executor.lease_expires_at = self.harness.now + LEASE_DURATION

    @rule(name=st.sampled_from(("i-0", "i-1", "i-2")))
    def reconnect(self, name: str) -> None:
        executor = self.shard.ledger.executors.get(name)
        if executor is None or executor.unresponsive_since is None:
            return
        executor.unresponsive_since = None
        running = [
            ReportedRun(run.task.task_id, run.number, "", 100, 0.0)
            for run in executor.runs.values()
            if run.phase is RunPhase.RUNNING
        ]
        now = self.harness.now = self.harness.now + 0.1
        report = HoldReport(0.0, executor.facts.incarnation, running, [])
        self.shard.apply_report(executor, report, now, now, now)

    def _discard_unconfirmed(self, name: str) -> None:
        """Record that no earlier order to an executor can be executed any more."""
        self.unconfirmed = {run for run in self.unconfirmed if run.executor != name}

    @rule(name=st.sampled_from(("i-0", "i-1", "i-2")))
    def register_again(self, name: str) -> None:
        self.harness.register(self._facts(name))

    @precondition(lambda self: self.shard.job_table.jobs)
    @rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        job_id = data.draw(st.sampled_from(sorted(self.shard.job_table.jobs)))
        self.shard.cancel(job_id, self.harness.now)

    @invariant()
    def charges_match_runs(self) -> None:
        if not hasattr(self, "shard"):
            return
        total = NO_RESOURCES
        for executor in self.shard.ledger.executors.values():
            used = NO_RESOURCES
            for run in executor.runs.values():
                used += run.reserved
                total += run.task.step.spec.need
            assert used == executor.used
            assert executor.used.cpu <= EXECUTOR_CPU
        both = self.shard.ledger.usage("north") + self.shard.ledger.usage("south")
        assert both == total
        assert self.shard.ledger.usage("north").cpu <= ORGANISATION_MAXIMUM_CPU

    @invariant()
    def only_speculative_tasks_have_two_open_runs(self) -> None:
        if not hasattr(self, "shard"):
            return
        runs = list(self.shard.ledger.runs())
        counts = Counter(run.task.task_id for run in runs if not _may_run_twice(run))
        assert all(count == 1 for count in counts.values())
        assert all(run.task.run is run for run in runs if not _may_run_twice(run))
        assert all(any(run is other for other in run.task.open_runs) for run in runs)

    @invariant()
    def step_limits_per_executor_hold(self) -> None:
        if not hasattr(self, "shard"):
            return
        counts = Counter((run.task.step, run.executor) for run in self.shard.ledger.runs())
        for (step, _), count in counts.items():
            assert not step.spec.most_per_executor or count <= step.spec.most_per_executor

    @invariant()
    def job_states_match_their_tasks(self) -> None:
        if not hasattr(self, "shard"):
            return
        for record in self.shard.job_table.jobs.values():
            steps = [step for steps in record.occurrences.values() for step in steps]
            if record.state is JobState.COMPLETED:
                assert all(task.done for step in steps for task in step.tasks)
            assert record.open_runs == sum(
                len(task.open_runs) for step in steps for task in step.tasks
            )


TestShard = ShardMachine.TestCase
TestShard.settings = settings(
    max_examples=80,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
