"""Send orders to one executor, and resolve the outcome of unanswered ones."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.coordination.executor_link import RETRY_DELAY, DeposedError
from vanillawell.coordination.start_gate import StartGate
from vanillawell.coordination.start_slots import StartSlots
from vanillawell.protocol.call_errors import NoAnswerError, NotSentError
from vanillawell.protocol.executor_calls import (
    OrderRefusal,
    OrderRefusedError,
    StartOrder,
    WrongIncarnationError,
)
from vanillawell.state.pacing import Pacer
from vanillawell.state.progress import RunPhase

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from anyio.abc import TaskGroup

    from vanillawell.coordination.executor_link import ExecutorLink
    from vanillawell.protocol.executor_calls import Target
    from vanillawell.state.outbox import OrphanedRun
    from vanillawell.state.progress import Run
    from vanillawell.state.work import TaskId

log = logging.getLogger(__name__)

MAX_START_AGE = 1.0
"""Seconds after which a stored start decision is no longer sent.

This process may have been suspended since the decision. Its successor reads the decision from the
store, which does not show until when the lease sent with a late order would last.
"""

REPORT_ATTEMPTS = 3
"""Attempts to fetch a report at once to learn the outcome of an order; after that, the next hold
call delivers it."""

DELAYED_START_TIME = 0.25
"""Seconds from storing a start decision to its order from which the delay is logged."""

MAX_CONCURRENT_ORDERS = 4
"""Maximum concurrent orders to one executor; each occupies a connection."""


class RunOrders:
    """Start, stop and pace runs on one incarnation of one executor."""

    def __init__(
        self,
        link: ExecutorLink,
        tasks: TaskGroup,
        notify: Callable[[], None],
        request_report: Callable[[], Awaitable[None]],
    ) -> None:
        """Initialise the sender.

        Args:
            link: The state shared by all calls to the executor.
            tasks: The task group that orders run in.
            notify: Wakes the driver of the executor.
            request_report: Fetches a report at once, and raises what a hold call raises.
        """
        self._link = link
        self._tasks = tasks
        self._notify = notify
        self._request_report = request_report
        self._slots = StartSlots(MAX_CONCURRENT_ORDERS)
        self._gate = StartGate()
        self._pacer = Pacer()
        self._is_identifying = False
        self._is_rejecting = False

    def submit(self, run: Run, stored_at: float) -> None:
        """Send the start order of a stored decision."""
        self._tasks.start_soon(self._start, run, stored_at)

    async def _start(self, run: Run, stored_at: float) -> None:
        job = run.task.step.record.job
        async with self._slots.slot(job.organisation, job.job_id):
            await self._await_identification()
            await self._await_gate()
            now = clock.read()
            self._log_if_delayed(run, now - stored_at)
            is_open = self._link.shard.ledger.is_charged(run) and not run.stop_requested
            changed = self._link.shard.reason_to_withdraw(run) if is_open else ""
            if changed:
                self._withdraw(run, changed)
                return
            reason = self._reason_not_to_start(run, stored_at, now)
            if reason:
                self._mark_not_started(run, reason)
                self._link.wake_owner()
                return
            await self._send_start(run, now)
        self._notify()
        self._link.wake_owner()

    async def _await_identification(self) -> None:
        """Wait briefly until it is known which incarnation the order would reach."""
        if self._link.executor.unresponsive_since is not None:
            return
        with anyio.move_on_after(MAX_START_AGE):
            while not self._link.is_identified:
                await self._link.identified.wait()

    async def _await_gate(self) -> None:
        """Wait for the answer to another start while it is the only sign of life."""
        while self._link.is_identified:
            delay = self._gate.delay(self._link.answered_at, clock.read())
            if not delay:
                return
            await self._gate.wait(delay)
            await self._await_identification()

    def _reason_not_to_start(self, run: Run, stored_at: float, now: float) -> str:
        """Return why a stored start decision must not be sent any more; empty if it may be."""
        if run.stop_requested:
            return "stop requested before start"
        if not self._link.shard.ledger.is_charged(run):
            return "closed before its order was sent"
        if run.incarnation != self._link.executor.facts.incarnation:
            return "planned for a previous incarnation"
        if not self._link.is_identified:
            return "incarnation not known"
        stale = now - stored_at > MAX_START_AGE and not self._link.term.is_held(now)
        if stale or not self._link.has_clock_reading:
            return "decision too old or executor clock unknown"
        if not self._link.may_extend_lease():
            return "lease extension not permitted"
        return ""

    def _log_if_delayed(self, run: Run, waited: float) -> None:
        """Log a start order that leaves late, and what the run and its executor are by then."""
        if waited < DELAYED_START_TIME:
            return
        executor = self._link.executor
        current = self._link.shard.ledger.executors.get(run.executor)
        fields = {
            **self._link.describe(run),
            "waited": round(waited, 3),
            "charged": (run.task.task_id, run.number) in executor.runs,
            "life": run.incarnation,
            "life_now": None if current is None else current.facts.incarnation,
        }
        log.info("start order delayed", extra=fields)

    def _withdraw(self, run: Run, reason: str) -> None:
        """Close a run that would not be decided any more; its task waits for another place."""
        self._mark_not_started(run, reason)
        self._link.shard.stop_gang_of(run)
        self._link.count_withdrawn_start()
        self._link.wake_owner()

    async def _send_start(self, run: Run, now: float) -> None:
        task, extension = run.task, self._link.extend_lease(now)
        order = StartOrder(
            task.task_id,
            run.number,
            task.step.record.job.payload,
            extension.end,
            run.checkpoint,
            run.ticket,
        )
        run.enter_phase(RunPhase.ORDERED, now)
        self._notify()
        target = self._link.target()
        try:
            with self._gate.sending(now):
                value = await self._link.calls.start(target, order, self._link.term.token)
        except NotSentError as error:
            self._link.revert_extension(extension)
            self._link.block_placement()
            self._doubt_incarnation()
            self._mark_not_started(run, str(error))
        except NoAnswerError as error:
            self._link.block_if_unresponsive(now)
            self._link.doubt_incarnation()
            await self._resolve_uncertain(run, str(error))
            self._identify_if_needed()
        except WrongIncarnationError:
            self._link.record_termination(target)
            self._mark_not_started(run, "addressed to a previous incarnation")
        except OrderRefusedError as error:
            if error.reason is OrderRefusal.UNHEALTHY:
                self._link.revert_extension(extension)
            await self._handle_start_refusal(run, error)
        else:
            self._record_start(run, target, value, now)

    def _record_start(self, run: Run, target: Target, value: float, sent: float) -> None:
        now = clock.read()
        if not self._detect_next_incarnation(target, value, sent):
            self._link.record_answer(target.incarnation, value, sent, now)
        if run.phase is RunPhase.ORDERED:
            run.enter_phase(RunPhase.RUNNING, now)
        if run.started is None:
            run.started = now
        log.debug("run start confirmed", extra=self._link.describe(run))

    def _detect_next_incarnation(self, target: Target, reading: float, sent: float) -> bool:
        """Detect by the clock in an answer that another incarnation gave it, and return whether.

        Nothing is placed on the executor then until a report has named that incarnation.

        Orders go to whichever incarnation runs at the address, so an answer may be the first sign
        of a new one.
        """
        is_current = target.incarnation == self._link.executor.incarnation.started
        if not is_current or not self._link.is_from_next_incarnation(reading, sent):
            return False
        fields = {"executor": target.executor, "life": target.incarnation, "clock": reading}
        log.warning("answer of another life", extra=fields)
        self._link.executor.incarnation.is_doubted = True
        self._doubt_incarnation()
        return True

    def _doubt_incarnation(self) -> None:
        """Learn from a report at once which incarnation answers; the waiting hold call was sent too
        early to show it."""
        self._link.doubt_incarnation()
        self._identify_if_needed()

    def _identify_if_needed(self) -> None:
        if not self._link.is_identified and not self._is_identifying:
            self._is_identifying = True
            self._tasks.start_soon(self._identify)

    async def _identify(self) -> None:
        try:
            for _ in range(REPORT_ATTEMPTS):
                if not self._link.is_identified:
                    await self._refresh_report()
        finally:
            self._is_identifying = False

    async def _handle_start_refusal(self, run: Run, error: OrderRefusedError) -> None:
        log.warning(
            "start refused", extra={**self._link.describe(run), "reason": error.reason.value}
        )
        if error.reason is OrderRefusal.STALE_TOKEN:
            raise DeposedError(self._link.executor.name) from error
        if error.reason is OrderRefusal.RUN_ENDED:
            await self._resolve_uncertain(run, error.reason.value)
            return
        if error.reason is OrderRefusal.INVALID_TICKET:
            task_id = run.task.task_id
            key = (task_id.job_id, task_id.occurrence, task_id.step)
            self._link.shard.tickets.pop(key, None)
            self._link.shard.stop_gang_of(run)
        else:
            self._link.block_placement()
        self._mark_not_started(run, error.reason.value)

    async def _resolve_uncertain(self, run: Run, reason: str) -> None:
        """Find out whether an unanswered start order was carried out; if not, make sure that it
        never is."""
        if run.phase is not RunPhase.ORDERED:
            return
        run.enter_phase(RunPhase.UNCERTAIN, clock.read())
        log.warning("start unanswered", extra={**self._link.describe(run), "reason": reason})
        await self._refresh_report()

    def _mark_not_started(self, run: Run, reason: str) -> None:
        log.info("run never began", extra={**self._link.describe(run), "reason": reason})
        self._link.shard.mark_not_started(run, clock.read(), self._link.wall())

    def stop(self, run: Run) -> None:
        """Stop a run, retrying until the executor has confirmed the stop or the run has ended."""
        self._tasks.start_soon(self._stop, run)

    async def _stop(self, run: Run) -> None:
        key = (run.task.task_id, run.number)
        while key in self._link.executor.runs and run.stop_confirmed is None:
            incarnation = self._link.executor.incarnation
            is_confirmed = await self._stop_once(run.task.task_id, run.number)
            if is_confirmed and self._link.executor.incarnation is incarnation:
                run.stop_confirmed = clock.read()
                log.info("run stopped", extra=self._link.describe(run))
                break
            await anyio.sleep(RETRY_DELAY)
        if run.phase is not RunPhase.RUNNING and key in self._link.executor.runs:
            await self._refresh_report()

    async def _refresh_report(self) -> None:
        """Fetch a report at once, since the waiting hold call was sent too early to show the
        outcome."""
        for _ in range(REPORT_ATTEMPTS):
            target = self._link.target()
            try:
                await self._request_report()
            except (NotSentError, NoAnswerError) as error:
                fields = {"executor": self._link.executor.name, "why": str(error)}
                log.warning("executor report not received", extra=fields)
            except OrderRefusedError as error:
                self._link.handle_refusal(error)
                return
            except WrongIncarnationError:
                self._link.record_termination(target)
                return
            else:
                return
            await anyio.sleep(RETRY_DELAY)

    def reject_open_orders(self) -> None:
        """Have the incarnation that has reported reject the orders to its predecessors that may
        still reach it."""
        if self._link.executor.incarnation.open_orders and not self._is_rejecting:
            self._is_rejecting = True
            self._tasks.start_soon(self._reject_open_orders)

    async def _reject_open_orders(self) -> None:
        incarnation = self._link.executor.incarnation
        fields = {"executor": incarnation.executor, "life": incarnation.started}
        log.warning("orders of a former life", extra={**fields, "n": len(incarnation.open_orders)})
        try:
            for task_id, run in sorted(incarnation.open_orders):
                if not self._link.is_identified or not await self._stop_once(task_id, run):
                    return
                incarnation.open_orders.discard((task_id, run))
        finally:
            self._is_rejecting = False
        self._link.wake_owner()

    def stop_orphan(self, orphan: OrphanedRun) -> None:
        """Stop a run that no task refers to."""
        self._tasks.start_soon(self._stop_orphan, orphan)

    async def _stop_orphan(self, orphan: OrphanedRun) -> None:
        fields = {"job": orphan.task_id.job_id, "task": orphan.task_id[1:], "run": orphan.run}
        log.warning("stray run", extra={**fields, "executor": orphan.executor})
        await self._stop_once(orphan.task_id, orphan.run)

    async def _stop_once(self, task_id: TaskId, run: int) -> bool:
        sent, target = clock.read(), self._link.target()
        try:
            reading = await self._link.calls.stop(target, task_id, run, self._link.term.token)
        except (NotSentError, NoAnswerError) as error:
            fields = {
                "executor": self._link.executor.name,
                "job": task_id.job_id,
                "task": task_id[1:],
            }
            log.warning("stop unanswered", extra={**fields, "run": run, "why": str(error)})
            self._link.block_if_unresponsive(sent)
            self._doubt_incarnation()
            return False
        except WrongIncarnationError:
            self._link.record_termination(target)
            return False
        except OrderRefusedError as error:
            if error.reason is OrderRefusal.STALE_TOKEN:
                raise DeposedError(self._link.executor.name) from error
            return error.reason is OrderRefusal.RUN_ENDED
        self._detect_next_incarnation(target, reading, sent)
        return True

    def pace(self, now: float) -> None:
        """Adjust the pace of tasks that run on otherwise unused capacity."""
        for run, percent in self._pacer.decide(self._link.executor, now):
            self._tasks.start_soon(self._send_pace, run, percent)

    async def _send_pace(self, run: Run, percent: int) -> None:
        try:
            await self._link.calls.pace(
                self._link.target(), run.task.task_id, run.number, percent, self._link.term.token
            )
        except (NotSentError, NoAnswerError, OrderRefusedError, WrongIncarnationError) as error:
            log.warning("pace order failed", extra={**self._link.describe(run), "why": str(error)})
            return
        run.pace = percent
        log.info("pace set", extra={**self._link.describe(run), "percent": percent})
