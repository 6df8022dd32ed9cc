"""Send orders to one executor, and find out what became of those without an answer."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.coordination.executor_link import RETRY_PAUSE, DeposedError
from vanillawell.protocol.call_errors import NoAnswerError, NotSentError
from vanillawell.protocol.executor_calls import (
    OrderRefusal,
    OrderRefusedError,
    StartOrder,
    WrongIncarnationError,
)
from vanillawell.state.pacing import Pacer
from vanillawell.state.work import RunPhase

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup

    from vanillawell.coordination.executor_link import ExecutorLink
    from vanillawell.protocol.executor_calls import Target
    from vanillawell.state.outbox import OrphanedRun
    from vanillawell.state.work import Run, TaskId

log = logging.getLogger(__name__)

START_FRESHNESS = 1.0
"""Seconds after which a stored decision is no longer sent.

A process may have been suspended in between; its successor knows of the decision from the store,
but not for how long its order would hold a lease."""

LOOKS = 3
"""Tries to ask at once what became of an order; after that the next waiting call tells."""

ORDERS_AT_ONCE = 4
"""Orders under way to one executor; each occupies a connection."""


class RunOrders:
    """Start, stop and pace runs on one life of one executor."""

    def __init__(
        self,
        link: ExecutorLink,
        tasks: TaskGroup,
        notify: Callable[[], None],
        ask_now: Callable[[], Awaitable[None]],
    ) -> None:
        """Take the group that orders run in, what tells the driver of news, and what asks for a
        report at once and raises as such a call does."""
        self._link = link
        self._tasks = tasks
        self._notify = notify
        self._ask_now = ask_now
        self._slots = anyio.Semaphore(ORDERS_AT_ONCE)
        self._pacer = Pacer()

    def submit(self, run: Run, stored_at: float) -> None:
        """Send a stored decision."""
        self._tasks.start_soon(self._start, run, stored_at)

    async def _start(self, run: Run, stored_at: float) -> None:
        if not self._link.contact.is_set():
            with anyio.move_on_after(START_FRESHNESS):
                await self._link.contact.wait()
        async with self._slots:
            now = clock.read()
            stale = now - stored_at > START_FRESHNESS and not self._link.term.is_held(now)
            if run.stop_requested or stale or not self._link.knows_clock:
                self._never_began(run, "stopped before" if run.stop_requested else "stale")
                return
            if not self._link.may_extend_lease():
                self._never_began(run, "lease not extended")
                return
            await self._send_start(run, now)
        self._notify()
        self._link.wake_owner()

    async def _send_start(self, run: Run, now: float) -> None:
        task, extension = run.task, self._link.extend_lease(now)
        order = StartOrder(
            task.task_id,
            run.number,
            task.step.record.job.payload,
            extension.end,
            task.checkpoint,
            run.ticket,
        )
        run.enter_phase(RunPhase.ORDERED, now)
        self._notify()
        target = self._link.target()
        try:
            value = await self._link.calls.start(target, order, self._link.term.token)
        except NotSentError as error:
            self._link.take_back(extension)
            self._link.block_placement()
            self._never_began(run, str(error))
        except NoAnswerError as error:
            self._link.suspect_if_silent(now)
            await self._settle_uncertain(run, str(error))
        except WrongIncarnationError:
            self._link.note_dead(target, "another executor lives at the address")
            self._never_began(run, "meant for a former life")
        except OrderRefusedError as error:
            if error.reason is OrderRefusal.UNHEALTHY:
                self._link.take_back(extension)
            await self._start_refused(run, error)
        else:
            self._started(run, target, value, now)

    def _started(self, run: Run, target: Target, value: float, sent: float) -> None:
        now = clock.read()
        self._link.answered(target.incarnation, value, sent, now)
        if run.phase is RunPhase.ORDERED:
            run.enter_phase(RunPhase.RUNNING, now)
        if run.started is None:
            run.started = now
        log.debug("run confirmed", extra=self._link.describe(run))

    async def _start_refused(self, run: Run, error: OrderRefusedError) -> None:
        log.warning(
            "start refused", extra={**self._link.describe(run), "reason": error.reason.value}
        )
        if error.reason is OrderRefusal.STALE_TOKEN:
            raise DeposedError(self._link.executor.name) from error
        if error.reason is OrderRefusal.RUN_ENDED:
            await self._settle_uncertain(run, error.reason.value)
            return
        if error.reason is OrderRefusal.INVALID_TICKET:
            task_id = run.task.task_id
            key = (task_id.job_id, task_id.occurrence, task_id.step)
            self._link.shard.tickets.pop(key, None)
        else:
            self._link.block_placement()
        self._never_began(run, error.reason.value)

    async def _settle_uncertain(self, run: Run, reason: str) -> None:
        """See whether an order without an answer was carried out; if not, rule it out."""
        if run.phase is not RunPhase.ORDERED:
            return
        run.enter_phase(RunPhase.UNCERTAIN, clock.read())
        log.warning("start unanswered", extra={**self._link.describe(run), "reason": reason})
        await self._look_again()

    def _never_began(self, run: Run, reason: str) -> None:
        log.info("run never began", extra={**self._link.describe(run), "reason": reason})
        self._link.shard.mark_not_started(run, clock.read(), self._link.wall())

    def stop(self, run: Run) -> None:
        """Stop a run, trying until the executor has confirmed it or the run is over."""
        self._tasks.start_soon(self._stop, run)

    async def _stop(self, run: Run) -> None:
        key = (run.task.task_id, run.number)
        while key in self._link.executor.runs and run.stop_confirmed is None:
            if await self._stop_once(run.task.task_id, run.number):
                run.stop_confirmed = clock.read()
                log.info("run stopped", extra=self._link.describe(run))
                break
            await anyio.sleep(RETRY_PAUSE)
        if run.phase is not RunPhase.RUNNING and key in self._link.executor.runs:
            await self._look_again()

    async def _look_again(self) -> None:
        """Ask for a report at once; the waiting hold was sent too early to settle the matter."""
        for _ in range(LOOKS):
            target = self._link.target()
            try:
                await self._ask_now()
            except (NotSentError, NoAnswerError) as error:
                fields = {"executor": self._link.executor.name, "why": str(error)}
                log.warning("executor not asked", extra=fields)
            except OrderRefusedError as error:
                self._link.refused(error)
                return
            except WrongIncarnationError:
                self._link.note_dead(target, "another executor lives at the address")
                return
            else:
                return
            await anyio.sleep(RETRY_PAUSE)

    def stop_orphan(self, stray: OrphanedRun) -> None:
        """Stop a run that no task wants."""
        self._tasks.start_soon(self._stop_orphan, stray)

    async def _stop_orphan(self, stray: OrphanedRun) -> None:
        fields = {"job": stray.task_id.job_id, "task": stray.task_id[1:], "run": stray.run}
        log.warning("stray run", extra={**fields, "executor": stray.executor})
        await self._stop_once(stray.task_id, stray.run)

    async def _stop_once(self, task_id: TaskId, run: int) -> bool:
        sent, target = clock.read(), self._link.target()
        try:
            await self._link.calls.stop(target, task_id, run, self._link.term.token)
        except (NotSentError, NoAnswerError) as error:
            fields = {
                "executor": self._link.executor.name,
                "job": task_id.job_id,
                "task": task_id[1:],
            }
            log.warning("stop unanswered", extra={**fields, "run": run, "why": str(error)})
            self._link.suspect_if_silent(sent)
            return False
        except WrongIncarnationError:
            self._link.note_dead(target, "another executor lives at the address")
            return False
        except OrderRefusedError as error:
            if error.reason is OrderRefusal.STALE_TOKEN:
                raise DeposedError(self._link.executor.name) from error
            return error.reason is OrderRefusal.RUN_ENDED
        return True

    def pace(self, now: float) -> None:
        """Slow down or speed up the tasks that live on what others leave."""
        for run, percent in self._pacer.decide(self._link.executor, now):
            self._tasks.start_soon(self._send_pace, run, percent)

    async def _send_pace(self, run: Run, percent: int) -> None:
        try:
            await self._link.calls.pace(
                self._link.target(), run.task.task_id, run.number, percent, self._link.term.token
            )
        except (NotSentError, NoAnswerError, OrderRefusedError, WrongIncarnationError) as error:
            log.warning("pace not set", extra={**self._link.describe(run), "why": str(error)})
            return
        run.pace = percent
        log.info("pace set", extra={**self._link.describe(run), "percent": percent})
