"""Drive the calls to one executor: renew its leases and process its reports."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.coordination.executor_link import RETRY_DELAY
from vanillawell.coordination.leases import RENEWAL_AFTER_LAPSE
from vanillawell.coordination.run_orders import RunOrders
from vanillawell.protocol.call_errors import NoAnswerError, NotSentError
from vanillawell.protocol.executor_calls import OrderRefusedError, WrongIncarnationError
from vanillawell.state.progress import RunPhase

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from vanillawell.coordination.executor_link import ExecutorLink, LeaseExtension
    from vanillawell.coordination.leases import ExecutorClock
    from vanillawell.state.executors import Executor
    from vanillawell.state.progress import Run

log = logging.getLogger(__name__)

LONG_HOLD_WAIT = 2.0
"""Seconds a hold call waits for a run to end; the maximum that executors allow. Calls are priced,
so long waits are cheaper."""

START_UP_HOLD_WAIT = 0.2
"""Seconds a hold call waits while a task starts of whose step only some may be away: the next one
may move as soon as it is known to be at work, and the moves of a step follow each other."""

SHORT_HOLD_WAIT = 0.5
"""Seconds a hold call waits while short tasks may end, or while start-ups or response-time tails
have to be monitored.

The executor answers as soon as a task ends, so a longer wait would not save many calls. But a lost
answer is noticed only after the wait; until then, ended tasks go unnoticed and their capacity
unused.
"""


class ExecutorDriver:
    """Send all calls to one incarnation of one executor."""

    def __init__(self, link: ExecutorLink, tasks: TaskGroup) -> None:
        self._link = link
        self._executor = link.executor
        self._orders = RunOrders(link, tasks, self.notify, lambda: self.hold(0.0))
        self._wake_event = anyio.Event()
        self._idle = False
        """Whether the driver is waiting for work, rather than for a scheduling cycle to be
        stored."""

        self._contact_logged = False
        self.finished = False

    @property
    def executor(self) -> Executor:
        """Return the executor."""
        return self._executor

    @property
    def clock(self) -> ExecutorClock:
        """Return the estimate of the executor's clock."""
        return self._link.clock

    @property
    def has_clock_reading(self) -> bool:
        """Return whether the clock of the executor's current incarnation has been read."""
        return self._link.has_clock_reading

    @property
    def orders(self) -> RunOrders:
        """Return the sender of orders to the executor."""
        return self._orders

    def notify(self) -> None:
        """Wake the driver so that it checks again whether a call is due."""
        self._wake_event.set()

    def wake_if_needed(self) -> None:
        """Wake the driver if it is idle and a call is due; cheap enough to run in every scheduling
        cycle."""
        if self._idle and self._is_hold_due():
            self._wake_event.set()

    async def run(self) -> None:
        """Send hold calls while any run is charged to the executor or any end awaits
        confirmation."""
        try:
            while self._is_needed():
                if self._is_hold_due():
                    await self._hold_once()
                else:
                    self._idle = True
                    await self._wait_for_wake()
                    self._idle = False
        finally:
            self.finished = True

    def _is_needed(self) -> bool:
        return self._link.shard.ledger.executors.get(self._executor.name) is self._executor

    async def _wait_for_wake(self) -> None:
        await self._wake_event.wait()
        self._wake_event = anyio.Event()

    def _is_hold_due(self) -> bool:
        executor = self._executor
        if not executor.facts.address:
            return False
        return (
            executor.is_unconfirmed
            or not self._link.is_identified
            or executor.order_void_since is not None
            or any(run.phase is not RunPhase.PLANNED for run in executor.runs.values())
            or self._confirmable_end() > executor.incarnation.confirmed_end
            or bool(executor.unsaved_ends)
            or bool(executor.incarnation.orphans)
            or bool(executor.incarnation.open_orders)
        )

    def _confirmable_end(self) -> int:
        """Return the number up to which ends may be confirmed by a call that is sent now.

        Another incarnation would forget ends of its own, and their tasks would start again.
        """
        is_known = self._executor.contacted and self._link.is_identified
        return self._executor.incarnation.saved_end if is_known else 0

    async def _hold_once(self) -> None:
        """Send one hold call and process its report."""
        if self._executor.unsaved_ends:
            with anyio.move_on_after(self._storage_timeout()):
                while self._executor.unsaved_ends and self._is_needed():
                    await self._wait_for_wake()
        if not self._executor.is_unconfirmed:
            await self._await_lease_extension()
        sent, target = clock.read(), self._link.target()
        try:
            await self.hold(self._hold_wait())
        except (NotSentError, NoAnswerError) as error:
            if self._link.answered_at >= sent:
                log.warning("report unanswered", extra={"executor": self._executor.name})
                return
            self._record_failure(error)
            await anyio.sleep(RETRY_DELAY)
        except OrderRefusedError as error:
            self._link.handle_refusal(error)
            await anyio.sleep(RETRY_DELAY)
        except WrongIncarnationError:
            self._link.record_termination(target)

    async def _await_lease_extension(self) -> None:
        """Wait briefly until leases may be extended again.

        A call sent before that would wait for a run to end without renewing any lease. If owners
        were replaced several times in a row, the leases of healthy runs would expire.
        """
        with anyio.move_on_after(self._storage_timeout()):
            while not self._link.may_extend_lease():
                await self._wait_for_wake()

    def _storage_timeout(self) -> float:
        """Return the maximum seconds to wait for a scheduling cycle to be stored before the next
        hold call.

        Executors answer at once while any reported end is unconfirmed, so a hold call would not
        wait. While the store is unavailable, only the lease has to be renewed.
        """
        return 0.3 if self._link.term.is_held(clock.read()) else 1.0

    def _hold_wait(self) -> float:
        """Return the seconds that the next hold call may wait for a run to end."""
        if self._executor.is_unconfirmed or not self._link.is_identified:
            return 0.0
        if self._executor.order_void_since is not None:
            return 0.0
        if self._executor.incarnation.has_unlisted_ends:
            return 0.0
        if not self._link.may_extend_lease():
            return SHORT_HOLD_WAIT
        runs = self._executor.runs.values()
        if any(_delays_next_move(run) for run in runs):
            return START_UP_HOLD_WAIT
        if self._executor.incarnation.orphans:
            return SHORT_HOLD_WAIT
        if any(self._needs_short_hold(run) for run in runs):
            return SHORT_HOLD_WAIT
        return LONG_HOLD_WAIT

    @staticmethod
    def _needs_short_hold(run: Run) -> bool:
        spec = run.task.step.spec
        return not spec.long_running or not run.is_available or bool(spec.tail_target)

    async def hold(self, wait: float) -> None:
        """Renew the lease, confirm the stored ends and process the report."""
        if not self._is_needed():
            return
        self._begin_incarnation(self._executor.facts.incarnation)
        sent = clock.read()
        incarnation, saved = self._executor.incarnation, self._confirmable_end()
        extension = self._new_lease(sent)
        lease_end = None if extension is None else extension.end
        try:
            report = await self._link.calls.hold(
                self._link.target(), self._link.term.token, saved, lease_end, wait
            )
        except (NotSentError, NoAnswerError, OrderRefusedError) as error:
            if not isinstance(error, NoAnswerError):
                self._link.revert_extension(extension)
            if not isinstance(error, OrderRefusedError):
                self._link.doubt_incarnation()
            raise
        if not self._is_needed():
            return
        if self._executor.is_from_earlier_incarnation(report.incarnation, sent):
            fields = {"executor": self._executor.name, "incarnation": report.incarnation}
            log.info("report of a former life", extra=fields)
            return
        now = clock.read()
        self._begin_incarnation(report.incarnation)
        if report.incarnation == incarnation.started:
            incarnation.confirmed_end = max(incarnation.confirmed_end, saved)
        self._link.record_answer(report.incarnation, report.clock, sent, now)
        self._record_contact()
        self._link.shard.apply_report(self._executor, report, sent, now, self._link.wall())
        self._link.identify_incarnation(sent)
        self._orders.reject_open_orders()
        if not self._contact_logged:
            self._contact_logged = True
            log.info(
                "executor contacted",
                extra={
                    "executor": self._executor.name,
                    "token": self._link.term.token,
                    "running": len(report.running),
                    "ended": len(report.ended),
                },
            )
        self._orders.pace(now)
        self._link.wake_owner()

    def _begin_incarnation(self, incarnation: int) -> None:
        """Reset the state kept for an incarnation if the executor has a new one."""
        if self._link.begin_incarnation(incarnation):
            fields = {"executor": self._executor.name, "life": incarnation}
            log.info("executor restarted", extra={**fields, "runs": len(self._executor.runs)})

    async def renew(self) -> bool:
        """Renew the leases at once, in parallel with the waiting hold call; return whether the
        executor answered."""
        try:
            await self.hold(0.0)
        except (NotSentError, NoAnswerError, OrderRefusedError, WrongIncarnationError) as error:
            fields = {"executor": self._executor.name, "why": str(error)}
            log.info("executor leases not renewed", extra=fields)
            return False
        return True

    def _new_lease(self, now: float) -> LeaseExtension | None:
        """Return a new lease, or None to leave the leases as they are.

        An unresponsive executor gets no renewal: any such call might still reach it, and its runs
        could never be started elsewhere. An owner also stops renewing once its own lease has been
        expired for too long.
        """
        if not self._link.has_clock_reading or self._executor.unresponsive_since is not None:
            return None
        if not self._link.may_extend_lease():
            return None
        if self._link.term.lapsed_for(now) > RENEWAL_AFTER_LAPSE:
            return None
        return self._link.extend_lease(now)

    def _record_contact(self) -> None:
        if self._executor.unresponsive_since is not None:
            unresponsive_for = round(clock.read() - self._executor.unresponsive_since, 3)
            fields = {"dependency": self._executor.name, "silent": unresponsive_for}
            log.warning("dependency regained", extra=fields)
        self._executor.unresponsive_since = None

    def _record_failure(self, error: Exception) -> None:
        """Stop placing tasks on the executor for a while, and count none of its runs as available.

        Even a refused connection does not prove that the executor has terminated: a device on a
        broken network path may refuse it while the executor keeps running.
        """
        self._link.block_placement()
        self._executor.mark_unresponsive()
        if not self._executor.facts.address:
            return
        if self._executor.unresponsive_since is None:
            now = clock.read()
            self._executor.unresponsive_since = now
            lease_left = self._executor.lease_expires_at - now
            fields = {
                "dependency": self._executor.name,
                "reason": str(error),
                "runs": len(self._executor.runs),
                "lease_left": round(max(0.0, lease_left), 3),
            }
            log.warning("dependency lost", extra=fields)
            self._link.wake_owner()


def _delays_next_move(run: Run) -> bool:
    """Return whether another task of a run's step may move once the run is at work."""
    spec = run.task.step.spec
    return spec.long_running and bool(spec.most_away) and not run.is_available
