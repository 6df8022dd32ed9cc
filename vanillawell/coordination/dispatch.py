"""Dispatch accepted requests: queueing, attempts, retries and exactly one final outcome."""

from __future__ import annotations

import logging
from collections.abc import Mapping
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.coordination.admission_check import AdmissionCheck
from vanillawell.coordination.link_monitor import LinkMonitor
from vanillawell.coordination.pool_runtime import PoolRuntime
from vanillawell.coordination.tickets import (
    CheckedRequest,
    LimitSource,
    Ticket,
    delivered_to,
    failure_of,
)
from vanillawell.protocol.backend_calls import Answer, Attempt, AttemptError
from vanillawell.protocol.refusals import Reason, Refusal
from vanillawell.protocol.verdict import Verdict
from vanillawell.state.charges import ChargeCounter
from vanillawell.state.queueing import WaitingRequest
from vanillawell.state.retries import (
    FailedAttempt,
    Failure,
    RetryBudget,
    RetryDecision,
    decide,
)
from vanillawell.state.routing import LeastLoadedRouting, QuotaRouting, RoutingPolicy

if TYPE_CHECKING:
    import random

    from anyio.abc import TaskGroup

    from vanillawell.config.settings import ExperimentSettings
    from vanillawell.protocol.backend_calls import BackendLink, LinkOpener
    from vanillawell.state.demand_table import DemandTable
    from vanillawell.state.policy import Policy
    from vanillawell.telemetry import Telemetry

log = logging.getLogger(__name__)

QUEUE_POLL_INTERVAL = 0.02
"""Seconds between two checks of queues that wait for something other than an answer."""

IDLE_POLL_INTERVAL = 0.2
"""Seconds between two checks while nothing is queued or running."""

SLOT_REFRESH_INTERVAL = 0.05
"""Seconds between two recalculations of how a pool's slots are divided."""


class Dispatcher:
    """Manage the queues, charges and attempts of one entry."""

    def __init__(
        self,
        tasks: TaskGroup,
        limits: LimitSource,
        demand_table: DemandTable,
        telemetry: Telemetry,
        rng: random.Random,
        source: str,
        zone: str,
        open_link: LinkOpener,
        longest_request: float,
        experiment: ExperimentSettings,
    ) -> None:
        self._tasks = tasks
        self._limits = limits
        self._demand_table = demand_table
        self._telemetry = telemetry
        self._admission = AdmissionCheck(limits, rng)
        self._source = source
        self._zone = zone
        self._open_link = open_link
        self._longest_request = longest_request
        quota = experiment.routing == "quota"
        self._routing: RoutingPolicy = QuotaRouting() if quota else LeastLoadedRouting()
        self._fifo = experiment.queue == "fifo"
        self._retry_budgeted = experiment.retries == "budgeted"
        self._pools: dict[str, PoolRuntime] = {}
        self._shares: Mapping[str, float] = {}
        self._policy: Policy | None = None
        self._tickets: dict[WaitingRequest, Ticket] = {}
        self._charges = ChargeCounter()
        self._link_monitor = LinkMonitor(tasks, telemetry, self._hedge, self.dispatch)
        self._tickets_by_attempt: dict[Attempt, Ticket] = {}

    @property
    def charges(self) -> ChargeCounter:
        """Return the units of organisations' limits that are in use."""
        return self._charges

    @property
    def pools(self) -> Mapping[str, PoolRuntime]:
        """Return the pools by name."""
        return self._pools

    @property
    def unfinished(self) -> int:
        """Return the number of queued and running requests, including those without a caller."""
        running = sum(pool.running() for pool in self._pools.values())
        return running + sum(len(pool.queue) for pool in self._pools.values())

    def running_in_zone(self, zone: str) -> int:
        """Return the number of attempts in progress at the executors of a zone."""
        return sum(pool.running_in_zone(zone) for pool in self._pools.values())

    def configure(self, policy: Policy, entries: tuple[str, ...]) -> None:
        """Apply a configuration and the list of the fleet's entries."""
        self._policy = policy
        self._shares = {
            name: organisation.share for name, organisation in policy.organisations.items()
        }
        for name, pool in policy.pools.items():
            if name not in self._pools:
                self._pools[name] = PoolRuntime(pool, self._zone, self._source, self._open_link)
            self._pools[name].configure(pool, entries)
        removed = [name for name in self._pools if name not in policy.pools]
        for name in removed:
            self._refuse_all(self._pools.pop(name))

    def renew_connections(self) -> None:
        """Send all further requests over new connections, such as after a certificate change."""
        for pool in self._pools.values():
            for link in pool.links.values():
                self._tasks.start_soon(link.replace_connections, clock.read())

    def _refuse_all(self, pool: PoolRuntime) -> None:
        for item in list(pool.queue):
            pool.queue.remove(item)
            ticket = self._tickets.pop(item)
            ticket.finish(Refusal(Reason.NO_SUCH_SERVICE, ticket.verdict_if_aborted))

    def wanted(self, organisation: str) -> int:
        """Return the units of an organisation's limit that this entry could use now."""
        queued = sum(pool.queue.length(organisation) for pool in self._pools.values())
        return self._charges.charged(organisation) + queued

    def submit(self, request: CheckedRequest, now: float) -> Ticket | Refusal:
        """Queue a request, or refuse it immediately."""
        pool = self._pools.get(request.pool)
        if (
            pool is None
            or self._policy is None
            or request.organisation not in self._policy.organisations
        ):
            detail = "the configuration changed while the request arrived"
            return Refusal(Reason.NO_SUCH_SERVICE, Verdict.NOT_RUN, detail)
        organisation = self._policy.organisations[request.organisation]
        refusal = self._admission.on_arrival(request, pool, organisation, now)
        if refusal:
            return refusal
        waiting = WaitingRequest(request.organisation, request.urgent, now, request.deadline)
        ticket = Ticket(request, waiting)
        self._tickets[waiting] = ticket
        pool.queue.add(waiting)
        pool.budget.record_first_attempt()
        self._limits.handle_demand_change(request.organisation)
        self.dispatch(pool, now)
        return ticket

    def refuse_without_units(self, now: float) -> None:
        """Refuse queued requests that wait for units which an unreachable store cannot grant."""
        for pool in self._pools.values():
            for item in [
                item for item in pool.queue if not self._limits.usable(item.organisation, now)
            ]:
                ticket = self._tickets.get(item)
                if ticket is None or ticket.running or self._charges.charged(item.organisation):
                    continue
                pool.queue.remove(item)
                self._finish(ticket, self._admission.no_units(ticket.verdict_if_aborted))

    def abort(self, ticket: Ticket, reason: Reason, now: float) -> Refusal:
        """End a request early because its deadline passed or its caller disconnected."""
        pool = self._pools.get(ticket.request.pool)
        if pool and pool.queue.remove(ticket.waiting):
            self._tickets.pop(ticket.waiting, None)
            self._limits.handle_demand_change(ticket.request.organisation)
        verdict = ticket.verdict_if_aborted
        refusal = Refusal(reason, Verdict.MAY_HAVE_RUN if ticket.running else verdict)
        ticket.finish(refusal)
        return refusal

    async def run(self) -> None:
        """Maintain queues and connections until cancelled."""
        while True:
            await anyio.sleep(QUEUE_POLL_INTERVAL if self.unfinished else IDLE_POLL_INTERVAL)
            now = clock.read()
            # An entry that is cut off from all peers receives no reports. Without expiry their last
            # reported demand would keep slots and units reserved for them indefinitely.
            self._demand_table.expire(now)
            for organisation in self._charges.release_due(now):
                self._limits.handle_demand_change(organisation)
            for pool in self._pools.values():
                self._maintain(pool, now)

    def pressure(self) -> float:
        """Return the highest ratio of demand to slots of any pool."""
        self._refresh_all()
        return max((pool.pressure for pool in self._pools.values()), default=0.0)

    def demand(self) -> dict[str, int]:
        """Return the slots that the demand of the whole fleet would fill, by pool."""
        self._refresh_all()
        return {name: pool.wanted for name, pool in self._pools.items()}

    def _refresh_all(self) -> None:
        now = clock.read()
        for pool in self._pools.values():
            pool.refresh(self._demand_table, self._shares, now)

    def _maintain(self, pool: PoolRuntime, now: float) -> None:
        if len(pool.queue) or pool.full:
            self.dispatch(pool, now)
        self._link_monitor.check(pool, now)
        for link in [item for item in pool.retired if not item.attempts]:
            pool.retired.remove(link)
            self._tasks.start_soon(link.close)

    def _hedge(self, pool: PoolRuntime, attempt: Attempt, executor: str) -> None:
        """Send an overdue idempotent request once more, if the retry budget allows it."""
        ticket = self._tickets_by_attempt[attempt]
        may_hedge = ticket.request.idempotent and ticket.outcome is None and not ticket.hedged
        if not may_hedge or len(pool.links) < 2 or not pool.budget.take():
            return
        ticket.hedged = True
        ticket.waiting.tried.add(executor)
        self._telemetry.retries.inc({"pool": ticket.request.pool, "kind": "hedge"})
        pool.queue.add(ticket.waiting, front=True)

    def dispatch(self, pool: PoolRuntime, now: float) -> None:
        """Start the queued requests of a pool that may start now."""
        if now - pool.refreshed_at > SLOT_REFRESH_INTERVAL:
            pool.refresh(self._demand_table, self._shares, now)

        def may_start(organisation: str) -> bool:
            return self._charges.charged(organisation) < self._limits.usable(organisation, now)

        def sort_key(item: WaitingRequest) -> float:
            return (
                item.arrived
                if self._fifo
                else pool.weighted_use(item.organisation, self._shares, now)
            )

        while len(pool.queue):
            item = pool.queue.pick(may_start, sort_key)
            if item is None:
                return
            if not self._admission.worth_starting(pool, item, now):
                self._end_cannot_finish(pool, item)
                continue
            executor = self._routing.choose(pool.view(item.tried, now), pool.health, now)
            if executor is None:
                pool.queue.add(item, front=True)
                return
            self._start(pool, item, executor, now)

    def _end_cannot_finish(self, pool: PoolRuntime, item: WaitingRequest) -> None:
        """End a request that cannot finish in time.

        If an earlier attempt of it is still running, only the queued second attempt is dropped.
        """
        ticket = self._tickets[item]
        if not ticket.running:
            self._finish(ticket, self._admission.cannot_finish(pool, ticket))

    def _start(self, pool: PoolRuntime, item: WaitingRequest, executor: str, now: float) -> None:
        ticket = self._tickets[item]
        link = pool.links[executor]
        ticket.running += 1
        self._charges.charge(item.organisation)
        pool.adjust_slots_used(item.organisation, 1, now)
        pool.record_start(executor, now)
        attempt = Attempt(now, lambda: self._may_send(ticket))
        self._tickets_by_attempt[attempt] = ticket
        link.attempts.add(attempt)
        self._tasks.start_soon(self._attempt, pool, ticket, link, attempt)

    def _may_send(self, ticket: Ticket) -> bool:
        """Return whether a request that was started may still be sent now."""
        now = clock.read()
        expired = ticket.outcome is not None or now >= ticket.request.deadline
        return not expired and self._limits.usable(ticket.request.organisation, now) > 0

    async def _attempt(
        self, pool: PoolRuntime, ticket: Ticket, link: BackendLink, attempt: Attempt
    ) -> None:
        """Run one attempt and release its charge according to its result."""
        error: AttemptError | None = None
        delivered: list[Answer] = []
        try:
            await link.exchange(
                ticket.request.forward,
                attempt,
                self._longest_request,
                delivered_to(ticket, delivered, pool, attempt),
            )
        except AttemptError as caught:
            error = caught
        except Exception:
            # An unexpected error must not terminate the entry and all its requests. Whether the
            # backend server ran this request is unknown.
            log.exception("attempt failed unexpectedly")
            error = AttemptError(Failure.INCOMPLETE_RESPONSE, "unexpected error")
        await link.close_idle()
        now = clock.read()
        del self._tickets_by_attempt[attempt]
        self._release_charge(ticket, attempt, error, now)
        pool.adjust_slots_used(ticket.request.organisation, -1, now)
        self._conclude(pool, ticket, link.executor.name, error, delivered, now)
        self.dispatch_all(now)

    def _release_charge(
        self, ticket: Ticket, attempt: Attempt, error: AttemptError | None, now: float
    ) -> None:
        organisation = ticket.request.organisation
        if error is not None and error.failure is Failure.INCOMPLETE_RESPONSE:
            self._charges.release_later(organisation, attempt.started + self._longest_request)
        else:
            self._charges.release(organisation)
        self._limits.handle_demand_change(organisation)

    def dispatch_all(self, now: float) -> None:
        """Start the queued requests of all pools that may start now."""
        for pool in self._pools.values():
            if len(pool.queue):
                self.dispatch(pool, now)

    def _conclude(
        self,
        pool: PoolRuntime,
        ticket: Ticket,
        executor: str,
        error: AttemptError | None,
        delivered: list[Answer],
        now: float,
    ) -> None:
        """Set the outcome of the request after an attempt, or start another attempt."""
        answer = delivered[0] if delivered else None
        failure = failure_of(error, answer)
        ticket.running -= 1
        if failure is None:
            pool.health.record_success(executor)
            ticket.conclude_late(answer)
            self._finish(ticket, answer)
            return
        if failure is Failure.REFUSED_FULL:
            pool.health.record_full(executor, now, pool.running_at(executor))
        elif failure is not Failure.TOO_LATE:
            self._record_failure(pool, executor, failure, now)
            ticket.waiting.tried.add(executor)
        ticket.may_have_run |= failure is Failure.INCOMPLETE_RESPONSE
        ticket.last_answer = answer or ticket.last_answer
        if ticket.outcome is not None:
            if not ticket.running:
                ticket.conclude_late(None)
                self._tickets.pop(ticket.waiting, None)
            return
        self._retry_or_end(pool, ticket, failure, now)

    def _record_failure(
        self, pool: PoolRuntime, executor: str, failure: Failure, now: float
    ) -> None:
        sent = failure is not Failure.NOT_SENT
        if pool.health.record_failure(executor, now, len(pool.links), sent):
            self._telemetry.record_ejection(executor, pool.policy.name)

    def _retry_or_end(
        self, pool: PoolRuntime, ticket: Ticket, failure: Failure, now: float
    ) -> None:
        if ticket.running:
            return
        request = ticket.request
        failed = FailedAttempt(
            failure, request.idempotent, len(ticket.waiting.tried), request.deadline - now
        )
        reachable = min(pool.policy.attempts, len(pool.links))
        budget = pool.budget if self._retry_budgeted else RetryBudget(0.0, bounded=False)
        decision = decide(failed, reachable, budget)
        if decision is RetryDecision.GIVE_UP or request.pool not in self._pools:
            self._finish(ticket, self._admission.after_failure(ticket, failure))
            return
        self._telemetry.retries.inc({"pool": request.pool, "kind": decision.name.lower()})
        pool.queue.remove(ticket.waiting)
        pool.queue.add(ticket.waiting, front=True)

    def _finish(self, ticket: Ticket, outcome: Answer | Refusal | None) -> None:
        """Set the outcome and remove the request, including a queued second attempt."""
        self._tickets.pop(ticket.waiting, None)
        pool = self._pools.get(ticket.request.pool)
        if pool:
            pool.queue.remove(ticket.waiting)
        if outcome is not None:
            ticket.finish(outcome)
