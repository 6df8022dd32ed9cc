"""Give one executor its orders and keep what runs there alive."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.coordination.leases import (
    HOLDING_AFTER_LAPSE,
    LEASE,
    LEASE_MARGIN,
    ExecutorClock,
)
from vanillawell.protocol.calls import NoAnswerError, NotSentError
from vanillawell.protocol.executor_calls import (
    OrderRefusedError,
    Refused,
    StartOrder,
    Target,
    WrongIncarnationError,
)
from vanillawell.state.executors import SUSPICION
from vanillawell.state.pacing import Pacer
from vanillawell.state.work import RunPhase

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskGroup

    from vanillawell.coordination.term import Term
    from vanillawell.protocol.executor_calls import ExecutorCalls
    from vanillawell.state.executors import Executor
    from vanillawell.state.shard import Shard, StrayStop
    from vanillawell.state.work import Run, TaskId

log = logging.getLogger(__name__)

LONG_HOLD = 2.0
"""Seconds a hold waits for an end; the longest that executors allow. Each hold has a price."""

SHORT_HOLD = 0.5
"""Seconds a hold waits where short tasks may end, or start-ups and tails have to be watched.

Where tasks end, holds are answered sooner anyway; but a lost answer is noticed only after the
wait, and until then the ends of tasks are not seen and their room is not used. With two seconds
and one answer in fifteen lost, an executor with ten ends a second was blind two thirds of the time.
"""

START_FRESHNESS = 1.0
"""Seconds after which a stored decision is no longer sent.

A process may have been suspended in between; its successor knows of the decision from the store,
but not for how long its order would hold a lease."""

RETRY_PAUSE = 0.2
"""Seconds between two tries to reach an executor."""

LOOKS = 3
"""Tries to ask at once what became of an order; after that the next waiting call tells."""

ORDERS_AT_ONCE = 4
"""Orders under way to one executor; each occupies a connection."""


class DeposedError(Exception):
    """An executor has seen a higher fencing token: another entry owns the shard."""


class ExecutorDriver:
    """Own the traffic to one life of one executor."""

    def __init__(
        self,
        executor: Executor,
        calls: ExecutorCalls,
        shard: Shard,
        term: Term,
        tasks: TaskGroup,
        wake: Callable[[], None],
        wall: Callable[[], float],
        longest_lease: float,
        kill_grace: float,
    ) -> None:
        self._executor = executor
        self._calls = calls
        self._shard = shard
        self._term = term
        self._tasks = tasks
        self._wake_owner = wake
        self._wall = wall
        self._lease = min(LEASE, longest_lease)
        self._kill_grace = kill_grace
        self._clock = ExecutorClock()
        self._contact = anyio.Event()
        self._news = anyio.Event()
        self._slots = anyio.Semaphore(ORDERS_AT_ONCE)
        self._confirmed_end = 0
        self._silent_since: float | None = None
        self._answered_at = float("-inf")
        self._pacer = Pacer()
        self.finished = False

    @property
    def executor(self) -> Executor:
        """Return the executor."""
        return self._executor

    @property
    def clock(self) -> ExecutorClock:
        """Return the estimate of the executor's clock."""
        return self._clock

    def target(self) -> Target:
        """Return whom orders are meant for."""
        facts = self._executor.facts
        return Target(facts.executor, facts.address, facts.incarnation)

    def notify(self) -> None:
        """Look again at whether there is something to do."""
        self._news.set()

    async def run(self) -> None:
        """Hold the executor while anything is charged to it or has to be confirmed."""
        try:
            while self._is_needed():
                if self._wants_hold():
                    await self._hold_once()
                else:
                    await self._wait_for_news()
        finally:
            self.finished = True

    def _is_needed(self) -> bool:
        return self._shard.ledger.executors.get(self._executor.name) is self._executor

    async def _wait_for_news(self) -> None:
        await self._news.wait()
        self._news = anyio.Event()

    def _wants_hold(self) -> bool:
        executor = self._executor
        if not executor.facts.address:
            return False
        return (
            not executor.contacted
            or any(run.phase is not RunPhase.PLANNED for run in executor.runs.values())
            or self._ends_to_confirm() > self._confirmed_end
            or bool(executor.unsaved_ends)
        )

    def _ends_to_confirm(self) -> int:
        return self._executor.saved_end if self._executor.contacted else 0

    async def _hold_once(self) -> None:
        """Make one call and take in what it reports."""
        if self._executor.unsaved_ends:
            with anyio.move_on_after(self._save_patience()):
                await self._wait_for_news()
        sent = clock.read()
        try:
            await self.hold(self._wait())
        except (NotSentError, NoAnswerError) as error:
            if self._answered_at >= sent:
                log.warning("report unanswered", extra={"executor": self._executor.name})
                return
            self._note_failure(error)
            await anyio.sleep(RETRY_PAUSE)
        except OrderRefusedError as error:
            self._note_refusal(error)
            await anyio.sleep(RETRY_PAUSE)
        except WrongIncarnationError:
            self._note_dead("another executor lives at the address")

    def _save_patience(self) -> float:
        """Return how long to wait for seen ends to be stored before the next hold.

        Executors list ends again and again until they are confirmed, so a hold would not wait.
        While the store is away only the lease has to be renewed.
        """
        return 0.3 if self._term.is_held(clock.read()) else 1.0

    def _wait(self) -> float:
        """Return the seconds that the next hold may wait for an end."""
        if not self._executor.contacted or self._silent_since is not None:
            return 0.0
        runs = self._executor.runs.values()
        if any(self._is_watched(run) for run in runs):
            return SHORT_HOLD
        return LONG_HOLD

    @staticmethod
    def _is_watched(run: Run) -> bool:
        spec = run.task.step.spec
        return not spec.long_running or not run.at_work or bool(spec.tail_target)

    async def hold(self, wait: float) -> None:
        """Renew the lease, confirm what is stored and take in the report."""
        sent = clock.read()
        saved = self._ends_to_confirm()
        lease_end = self._renew(sent)
        report = await self._calls.hold(self.target(), self._term.token, saved, lease_end, wait)
        if not self._is_needed():
            return
        now = clock.read()
        self._clock.note(report.clock, now)
        self._confirmed_end = max(self._confirmed_end, saved)
        self._note_contact()
        life = self._executor.facts.incarnation
        self._shard.take_report(self._executor, report, sent, now, self._wall())
        if self._executor.facts.incarnation != life:
            self._confirmed_end = 0
            log.info("executor restarted", extra={"executor": self._executor.name})
        if not self._contact.is_set():
            self._contact.set()
            log.info(
                "executor contacted",
                extra={
                    "executor": self._executor.name,
                    "token": self._term.token,
                    "running": len(report.running),
                    "ended": len(report.ended),
                },
            )
        self._pace(now)
        self._wake_owner()

    def _renew(self, now: float) -> float | None:
        """Return the end of a new lease; None to leave the leases as they are.

        An executor that does not answer gets no renewal: each call might still reach it, and its
        runs could never be given up. Nor does an owner renew long after it lost its own lease.
        """
        if self._clock.value is None or self._silent_since is not None:
            return None
        if self._term.lapsed_for(now) > HOLDING_AFTER_LAPSE:
            return None
        over = self._clock.surely_over(now, self._lease) + self._kill_grace + LEASE_MARGIN
        self._executor.lease_over = max(self._executor.lease_over, over)
        return self._clock.lease_end(now, self._lease)

    def _suspect_if_silent(self, sent: float) -> None:
        """Give the executor no new work for a while if it has answered nothing since `sent`.

        Single answers get lost, too, or come seconds late, while others arrive. An executor shut
        out for each of them left a pool at half its room in the worst seconds of its peak: with one
        order in fifteen unanswered, nine of 21 executors got no work at any time.
        """
        if self._answered_at < sent:
            self._executor.suspect(clock.read() + SUSPICION)

    def _note_contact(self) -> None:
        self._answered_at = clock.read()
        if self._silent_since is not None:
            silent = round(clock.read() - self._silent_since, 3)
            fields = {"dependency": self._executor.name, "silent": silent}
            log.warning("dependency regained", extra=fields)
        self._silent_since = None

    def _note_failure(self, error: Exception) -> None:
        """Give the executor no new work for a while.

        Not even a refused connection proves that it has ended: a path that is cut may answer
        for it, while it runs on.
        """
        now = clock.read()
        self._executor.suspect(now + SUSPICION)
        if not self._executor.facts.address:
            return
        if self._silent_since is None:
            self._silent_since = now
            fields = {"dependency": self._executor.name, "reason": str(error)}
            log.warning("dependency lost", extra=fields)

    def _note_refusal(self, error: OrderRefusedError) -> None:
        if error.reason is Refused.FENCE:
            raise DeposedError(self._executor.name) from error
        self._executor.suspect(clock.read() + SUSPICION)
        fields = {"executor": self._executor.name, "reason": error.reason.value}
        log.warning("hold refused", extra=fields)

    def _note_dead(self, reason: str) -> None:
        fields = {"executor": self._executor.name, "reason": reason}
        log.warning("executor gone", extra={**fields, "runs": len(self._executor.runs)})
        facts = self._executor.facts
        self._shard.dead(facts.executor, facts.incarnation, clock.read(), self._wall())
        self._wake_owner()

    def submit(self, run: Run, stored_at: float) -> None:
        """Send a stored decision."""
        self._tasks.start_soon(self._start, run, stored_at)

    async def _start(self, run: Run, stored_at: float) -> None:
        if not self._contact.is_set():
            with anyio.move_on_after(START_FRESHNESS):
                await self._contact.wait()
        async with self._slots:
            now = clock.read()
            stale = now - stored_at > START_FRESHNESS and not self._term.is_held(now)
            if run.stop_wanted or stale or self._clock.value is None:
                self._never_began(run, "stopped before" if run.stop_wanted else "stale")
                return
            await self._send_start(run, now)
        self.notify()
        self._wake_owner()

    async def _send_start(self, run: Run, now: float) -> None:
        task = run.task
        order = StartOrder(
            task.task_id,
            run.number,
            task.step.record.job.payload,
            self._clock.lease_end(now, self._lease),
            task.checkpoint,
            run.ticket,
        )
        over = self._clock.surely_over(now, self._lease) + self._kill_grace + LEASE_MARGIN
        self._executor.lease_over = max(self._executor.lease_over, over)
        run.enter(RunPhase.ORDERED, now)
        self.notify()
        try:
            value = await self._calls.start(self.target(), order, self._term.token)
        except NotSentError as error:
            self._executor.suspect(clock.read() + SUSPICION)
            self._never_began(run, str(error))
        except NoAnswerError as error:
            self._suspect_if_silent(now)
            await self._settle_uncertain(run, str(error))
        except WrongIncarnationError:
            self._note_dead("another executor lives at the address")
        except OrderRefusedError as error:
            await self._start_refused(run, error)
        else:
            self._started(run, value)

    def _started(self, run: Run, value: float) -> None:
        now = clock.read()
        self._clock.note(value, now)
        self._answered_at = now
        if run.phase is RunPhase.ORDERED:
            run.enter(RunPhase.RUNNING, now)
        if run.started is None:
            run.started = now
        log.info("run started", extra=self._describe(run))

    async def _start_refused(self, run: Run, error: OrderRefusedError) -> None:
        log.warning("start refused", extra={**self._describe(run), "reason": error.reason.value})
        if error.reason is Refused.FENCE:
            raise DeposedError(self._executor.name) from error
        if error.reason is Refused.OLD:
            await self._settle_uncertain(run, error.reason.value)
            return
        if error.reason is Refused.TICKET:
            task_id = run.task.task_id
            key = (task_id.job_id, task_id.occurrence, task_id.step)
            self._shard.tickets.pop(key, None)
        else:
            self._executor.suspect(clock.read() + SUSPICION)
        self._never_began(run, error.reason.value)

    async def _settle_uncertain(self, run: Run, reason: str) -> None:
        """See whether an order without an answer was carried out; if not, rule it out."""
        if run.phase is not RunPhase.ORDERED:
            return
        run.enter(RunPhase.UNCERTAIN, clock.read())
        log.warning("start unanswered", extra={**self._describe(run), "reason": reason})
        await self._look_again()

    def _never_began(self, run: Run, reason: str) -> None:
        log.info("run never began", extra={**self._describe(run), "reason": reason})
        self._shard.never_began(run, clock.read(), self._wall())

    def stop(self, run: Run) -> None:
        """Stop a run, trying until the executor has confirmed it or the run is over."""
        self._tasks.start_soon(self._stop, run)

    async def _stop(self, run: Run) -> None:
        key = (run.task.task_id, run.number)
        while key in self._executor.runs and run.stop_confirmed is None:
            if await self._stop_once(run.task.task_id, run.number):
                run.stop_confirmed = clock.read()
                log.info("run stopped", extra=self._describe(run))
                break
            await anyio.sleep(RETRY_PAUSE)
        if run.phase is not RunPhase.RUNNING and key in self._executor.runs:
            await self._look_again()

    async def _look_again(self) -> None:
        """Ask for a report at once; the waiting hold was sent too early to settle the matter."""
        for _ in range(LOOKS):
            try:
                await self.hold(0.0)
            except (NotSentError, NoAnswerError) as error:
                fields = {"executor": self._executor.name, "why": str(error)}
                log.warning("executor not asked", extra=fields)
            except OrderRefusedError as error:
                self._note_refusal(error)
                return
            except WrongIncarnationError:
                self._note_dead("another executor lives at the address")
                return
            else:
                return
            await anyio.sleep(RETRY_PAUSE)

    def stop_stray(self, stray: StrayStop) -> None:
        """Stop a run that no task wants."""
        self._tasks.start_soon(self._stop_stray, stray)

    async def _stop_stray(self, stray: StrayStop) -> None:
        fields = {"job": stray.task_id.job_id, "task": stray.task_id[1:], "run": stray.run}
        log.warning("stray run", extra={**fields, "executor": stray.executor})
        await self._stop_once(stray.task_id, stray.run)

    async def _stop_once(self, task_id: TaskId, run: int) -> bool:
        sent = clock.read()
        try:
            await self._calls.stop(self.target(), task_id, run, self._term.token)
        except (NotSentError, NoAnswerError) as error:
            fields = {"executor": self._executor.name, "job": task_id.job_id, "task": task_id[1:]}
            log.warning("stop unanswered", extra={**fields, "run": run, "why": str(error)})
            self._suspect_if_silent(sent)
            return False
        except WrongIncarnationError:
            self._note_dead("another executor lives at the address")
            return False
        except OrderRefusedError as error:
            if error.reason is Refused.FENCE:
                raise DeposedError(self._executor.name) from error
            return error.reason is Refused.OLD
        return True

    def _pace(self, now: float) -> None:
        """Slow down or speed up the tasks that live on what others leave."""
        for run, percent in self._pacer.decide(self._executor, now):
            self._tasks.start_soon(self._send_pace, run, percent)

    async def _send_pace(self, run: Run, percent: int) -> None:
        try:
            await self._calls.pace(
                self.target(), run.task.task_id, run.number, percent, self._term.token
            )
        except (NotSentError, NoAnswerError, OrderRefusedError, WrongIncarnationError) as error:
            log.warning("pace not set", extra={**self._describe(run), "why": str(error)})
            return
        run.pace = percent
        log.info("pace set", extra={**self._describe(run), "percent": percent})

    def _describe(self, run: Run) -> dict[str, object]:
        task_id = run.task.task_id
        return {
            "job": task_id.job_id,
            "task": task_id[1:],
            "run": run.number,
            "executor": run.executor,
            "token": self._term.token,
        }
