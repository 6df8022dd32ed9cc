"""Keep what runs on one executor alive, and take in what it reports."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.coordination.executor_link import RETRY_PAUSE
from vanillawell.coordination.leases import RENEWAL_AFTER_LAPSE
from vanillawell.coordination.run_orders import RunOrders
from vanillawell.protocol.call_errors import NoAnswerError, NotSentError
from vanillawell.protocol.executor_calls import OrderRefusedError, WrongIncarnationError
from vanillawell.state.work import RunPhase

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from vanillawell.coordination.executor_link import ExecutorLink, LeaseExtension
    from vanillawell.coordination.leases import ExecutorClock
    from vanillawell.state.executors import Executor
    from vanillawell.state.work import Run

log = logging.getLogger(__name__)

LONG_HOLD = 2.0
"""Seconds a hold waits for an end; the longest that executors allow. Each hold has a price."""

SHORT_HOLD = 0.5
"""Seconds a hold waits where short tasks may end, or start-ups and tails have to be watched.

Where tasks end, holds are answered sooner anyway; but a lost answer is noticed only after the
wait, and until then ends of tasks go unnoticed and their room unused.
"""


class ExecutorDriver:
    """Own the traffic to one life of one executor."""

    def __init__(self, link: ExecutorLink, tasks: TaskGroup) -> None:
        self._link = link
        self._executor = link.executor
        self._orders = RunOrders(link, tasks, self.notify, lambda: self.hold(0.0))
        self._news = anyio.Event()
        self._idle = False
        """Whether it waits for something to do, and not for a turn to be stored."""

        self._confirmed_end = 0
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
    def knows_clock(self) -> bool:
        """Tell whether the clock of the executor's present life has been read."""
        return self._link.knows_clock

    @property
    def orders(self) -> RunOrders:
        """Return what sends orders to the executor."""
        return self._orders

    def notify(self) -> None:
        """Look again at whether there is something to do."""
        self._news.set()

    def wake_if_needed(self) -> None:
        """Go on if there is something to do by now; cheap enough for each turn."""
        if self._idle and self._wants_hold():
            self._news.set()

    async def run(self) -> None:
        """Hold the executor while anything is charged to it or has to be confirmed."""
        try:
            while self._is_needed():
                if self._wants_hold():
                    await self._hold_once()
                else:
                    self._idle = True
                    await self._wait_for_news()
                    self._idle = False
        finally:
            self.finished = True

    def _is_needed(self) -> bool:
        return self._link.shard.ledger.executors.get(self._executor.name) is self._executor

    async def _wait_for_news(self) -> None:
        await self._news.wait()
        self._news = anyio.Event()

    def _wants_hold(self) -> bool:
        executor = self._executor
        if not executor.facts.address:
            return False
        return (
            executor.is_unconfirmed
            or executor.order_void_since is not None
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
                while self._executor.unsaved_ends and self._is_needed():
                    await self._wait_for_news()
        if not self._executor.is_unconfirmed:
            await self._await_permission()
        sent, target = clock.read(), self._link.target()
        try:
            await self.hold(self._wait())
        except (NotSentError, NoAnswerError) as error:
            if self._link.answered_at >= sent:
                log.warning("report unanswered", extra={"executor": self._executor.name})
                return
            self._note_failure(error)
            await anyio.sleep(RETRY_PAUSE)
        except OrderRefusedError as error:
            self._link.refused(error)
            await anyio.sleep(RETRY_PAUSE)
        except WrongIncarnationError:
            self._link.note_dead(target, "another executor lives at the address")

    async def _await_permission(self) -> None:
        """Wait a moment until leases may be extended again.

        A report that is asked for before would wait for an end without renewing anything, and
        owners that are replaced in series would let the leases of sound work expire.
        """
        with anyio.move_on_after(self._save_patience()):
            while not self._link.may_extend_lease():
                await self._wait_for_news()

    def _save_patience(self) -> float:
        """Return how long to wait for a turn to be stored before the next hold.

        Executors list ends again and again until they are confirmed, so a hold would not wait.
        While the store is away only the lease has to be renewed.
        """
        return 0.3 if self._link.term.is_held(clock.read()) else 1.0

    def _wait(self) -> float:
        """Return the seconds that the next hold may wait for an end."""
        if not self._executor.contacted or self._executor.unresponsive_since is not None:
            return 0.0
        if self._executor.order_void_since is not None:
            return 0.0
        if not self._link.may_extend_lease():
            return SHORT_HOLD
        runs = self._executor.runs.values()
        if any(self._is_watched(run) for run in runs):
            return SHORT_HOLD
        return LONG_HOLD

    @staticmethod
    def _is_watched(run: Run) -> bool:
        spec = run.task.step.spec
        return not spec.long_running or not run.is_available or bool(spec.tail_target)

    async def hold(self, wait: float) -> None:
        """Renew the lease, confirm what is stored and take in the report."""
        self._enter_life(self._executor.facts.incarnation)
        sent = clock.read()
        saved = self._ends_to_confirm()
        extension = self._renew(sent)
        lease_end = None if extension is None else extension.end
        try:
            report = await self._link.calls.hold(
                self._link.target(), self._link.term.token, saved, lease_end, wait
            )
        except (NotSentError, OrderRefusedError):
            self._link.take_back(extension)
            raise
        if not self._is_needed():
            return
        if self._executor.is_from_earlier_incarnation(report.incarnation, sent):
            fields = {"executor": self._executor.name, "incarnation": report.incarnation}
            log.info("report of a former life", extra=fields)
            return
        now = clock.read()
        if not self._enter_life(report.incarnation):
            self._confirmed_end = max(self._confirmed_end, saved)
        self._link.answered(report.incarnation, report.clock, sent, now)
        self._note_contact()
        self._link.shard.take_report(self._executor, report, sent, now, self._link.wall())
        if not self._link.contact.is_set():
            self._link.contact.set()
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

    def _enter_life(self, incarnation: int) -> bool:
        """Begin anew with a new life of the executor; tells whether it is one."""
        if not self._link.enter_life(incarnation):
            return False
        self._confirmed_end = 0
        log.info("executor restarted", extra={"executor": self._executor.name})
        return True

    async def renew(self) -> bool:
        """Renew the leases at once, beside the call that waits for an end; tells whether the
        executor has answered."""
        try:
            await self.hold(0.0)
        except (NotSentError, NoAnswerError, OrderRefusedError, WrongIncarnationError) as error:
            fields = {"executor": self._executor.name, "why": str(error)}
            log.info("executor not renewed", extra=fields)
            return False
        return True

    def _renew(self, now: float) -> LeaseExtension | None:
        """Return a new lease; None to leave the leases as they are.

        An executor that does not answer gets no renewal: each call might still reach it, and its
        runs could never be given up. Nor does an owner renew long after it lost its own lease.
        """
        if not self._link.knows_clock or self._executor.unresponsive_since is not None:
            return None
        if not self._link.may_extend_lease():
            return None
        if self._link.term.lapsed_for(now) > RENEWAL_AFTER_LAPSE:
            return None
        return self._link.extend_lease(now)

    def _note_contact(self) -> None:
        if self._executor.unresponsive_since is not None:
            silent = round(clock.read() - self._executor.unresponsive_since, 3)
            fields = {"dependency": self._executor.name, "silent": silent}
            log.warning("dependency regained", extra=fields)
        self._executor.unresponsive_since = None

    def _note_failure(self, error: Exception) -> None:
        """Give the executor no new work for a while, and rely on nothing that it runs.

        Not even a refused connection proves that it has ended: a path that is cut may answer
        for it, while it runs on.
        """
        self._link.block_placement()
        self._executor.mark_unresponsive()
        if not self._executor.facts.address:
            return
        if self._executor.unresponsive_since is None:
            now = clock.read()
            self._executor.unresponsive_since = now
            left = self._executor.lease_expires_at - now
            fields = {
                "dependency": self._executor.name,
                "reason": str(error),
                "runs": len(self._executor.runs),
                "lease_left": round(max(0.0, left), 3),
            }
            log.warning("dependency lost", extra=fields)
            self._link.wake_owner()
