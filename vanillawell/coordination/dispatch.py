"""Take accepted requests through queue, attempts and retries to one final outcome."""

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

TICK = 0.02
"""Seconds between two looks at queues that wait for something other than an answer."""

IDLE_TICK = 0.2
"""The same while nothing waits or runs."""

REFRESH_INTERVAL = 0.05
"""Seconds between two divisions of a pool's slots."""


class Dispatcher:
    """Own the queues, charges and attempts of one entry."""

    def __init__(
        self,
        tasks: TaskGroup,
        limits: LimitSource,
        board: DemandTable,
        telemetry: Telemetry,
        rng: random.Random,
        source: str,
        zone: str,
        open_link: LinkOpener,
        longest: float,
        experiment: ExperimentSettings,
    ) -> None:
        self._tasks = tasks
        self._limits = limits
        self._board = board
        self._telemetry = telemetry
        self._admission = AdmissionCheck(limits, rng)
        self._source = source
        self._zone = zone
        self._open_link = open_link
        self._longest = longest
        quota = experiment.routing == "quota"
        self._routing: RoutingPolicy = QuotaRouting() if quota else LeastLoadedRouting()
        self._fifo = experiment.queue == "fifo"
        self._budgeted = experiment.retries == "budgeted"
        self._pools: dict[str, PoolRuntime] = {}
        self._shares: Mapping[str, float] = {}
        self._policy: Policy | None = None
        self._tickets: dict[WaitingRequest, Ticket] = {}
        self._charges = ChargeCounter()
        self._watch = LinkMonitor(tasks, telemetry, self._hedge, self.pump)
        self._owners: dict[Attempt, Ticket] = {}

    @property
    def charges(self) -> ChargeCounter:
        """Return the units of organisations' limits in use."""
        return self._charges

    @property
    def pools(self) -> Mapping[str, PoolRuntime]:
        """Return the pools by name."""
        return self._pools

    @property
    def unfinished(self) -> int:
        """Count requests that wait or run, also those nobody waits for any more."""
        running = sum(pool.running() for pool in self._pools.values())
        return running + sum(len(pool.queue) for pool in self._pools.values())

    def configure(self, policy: Policy, entries: tuple[str, ...]) -> None:
        """Take over a configuration and the fleet's entries."""
        self._policy = policy
        self._shares = {
            name: organisation.share for name, organisation in policy.organisations.items()
        }
        for name, pool in policy.pools.items():
            if name not in self._pools:
                self._pools[name] = PoolRuntime(pool, self._zone, self._source, self._open_link)
            self._pools[name].configure(pool, entries)
        gone = [name for name in self._pools if name not in policy.pools]
        for name in gone:
            self._refuse_all(self._pools.pop(name))

    def renew_connections(self) -> None:
        """Send all further requests over new connections, for instance after a new certificate."""
        for pool in self._pools.values():
            for link in pool.links.values():
                self._tasks.start_soon(link.renew, clock.read())

    def _refuse_all(self, pool: PoolRuntime) -> None:
        for item in list(pool.queue):
            pool.queue.remove(item)
            ticket = self._tickets.pop(item)
            ticket.finish(Refusal(Reason.NO_SUCH_SERVICE, ticket.verdict_if_given_up))

    def wanted(self, organisation: str) -> int:
        """Return the units of an organisation's limit that this entry could use now."""
        queued = sum(pool.queue.length(organisation) for pool in self._pools.values())
        return self._charges.charged(organisation) + queued

    def submit(self, request: CheckedRequest, now: float) -> Ticket | Refusal:
        """Accept a request into its queue, or refuse it at once."""
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
        self._limits.note_demand(request.organisation)
        self.pump(pool, now)
        return ticket

    def refuse_without_units(self, now: float) -> None:
        """Refuse at once what waits for units that cannot be had while the store is away."""
        for pool in self._pools.values():
            for item in [
                item for item in pool.queue if not self._limits.usable(item.organisation, now)
            ]:
                ticket = self._tickets.get(item)
                if ticket is None or ticket.running or self._charges.charged(item.organisation):
                    continue
                pool.queue.remove(item)
                self._finish(ticket, self._admission.no_units(ticket.verdict_if_given_up))

    def abort(self, ticket: Ticket, reason: Reason, now: float) -> Refusal:
        """End a request early, for its deadline or because its caller left."""
        pool = self._pools.get(ticket.request.pool)
        if pool and pool.queue.remove(ticket.waiting):
            self._tickets.pop(ticket.waiting, None)
            self._limits.note_demand(ticket.request.organisation)
        known = ticket.verdict_if_given_up
        refusal = Refusal(reason, Verdict.MAY_HAVE_RUN if ticket.running else known)
        ticket.finish(refusal)
        return refusal

    async def run(self) -> None:
        """Look after queues and connections until cancelled."""
        while True:
            await anyio.sleep(TICK if self.unfinished else IDLE_TICK)
            now = clock.read()
            # An entry that reaches no peer any more hears nothing, and nothing else would tell it
            # that their demand is gone: it would leave them slots and units for ever.
            self._board.expire(now)
            for organisation in self._charges.release_due(now):
                self._limits.note_demand(organisation)
            for pool in self._pools.values():
                self._look_after(pool, now)

    def pressure(self) -> float:
        """Return how much of its slots the most wanted pool has in demand now."""
        self._refresh_all()
        return max((pool.pressure for pool in self._pools.values()), default=0.0)

    def demand(self) -> dict[str, int]:
        """Return the slots that the whole fleet's demand would fill, by pool."""
        self._refresh_all()
        return {name: pool.wanted for name, pool in self._pools.items()}

    def _refresh_all(self) -> None:
        now = clock.read()
        for pool in self._pools.values():
            pool.refresh(self._board, self._shares, now)

    def _look_after(self, pool: PoolRuntime, now: float) -> None:
        if len(pool.queue) or pool.full:
            self.pump(pool, now)
        self._watch.look_at(pool, now)
        for link in [item for item in pool.retired if not item.attempts]:
            pool.retired.remove(link)
            self._tasks.start_soon(link.close)

    def _hedge(self, pool: PoolRuntime, attempt: Attempt, executor: str) -> None:
        """Send an overdue idempotent request a second time, once and within the budget."""
        ticket = self._owners[attempt]
        wanted = ticket.request.idempotent and ticket.outcome is None and not ticket.hedged
        if not wanted or len(pool.links) < 2 or not pool.budget.take():
            return
        ticket.hedged = True
        ticket.waiting.tried.add(executor)
        self._telemetry.retries.inc({"pool": ticket.request.pool, "kind": "hedge"})
        pool.queue.add(ticket.waiting, front=True)

    def pump(self, pool: PoolRuntime, now: float) -> None:
        """Start what may start in a pool."""
        if now - pool.refreshed > REFRESH_INTERVAL:
            pool.refresh(self._board, self._shares, now)

        def may_start(organisation: str) -> bool:
            return self._charges.charged(organisation) < self._limits.usable(organisation, now)

        def debt(item: WaitingRequest) -> float:
            return item.arrived if self._fifo else pool.debt(item.organisation, self._shares, now)

        while len(pool.queue):
            item = pool.queue.pick(may_start, debt)
            if item is None:
                return
            if not self._admission.worth_starting(pool, item, now):
                self._refuse_hopeless(pool, item)
                continue
            executor = self._routing.choose(pool.view(item.tried, now), pool.health, now)
            if executor is None:
                pool.queue.add(item, front=True)
                return
            self._start(pool, item, executor, now)

    def _refuse_hopeless(self, pool: PoolRuntime, item: WaitingRequest) -> None:
        """End a request that waited too long; a second attempt of one that runs is dropped."""
        ticket = self._tickets[item]
        if not ticket.running:
            self._finish(ticket, self._admission.hopeless(pool, ticket))

    def _start(self, pool: PoolRuntime, item: WaitingRequest, executor: str, now: float) -> None:
        ticket = self._tickets[item]
        link = pool.links[executor]
        ticket.running += 1
        self._charges.charge(item.organisation)
        pool.occupy(item.organisation, 1, now)
        pool.record_start(executor, now)
        attempt = Attempt(now, lambda: self._may_send(ticket))
        self._owners[attempt] = ticket
        link.attempts.add(attempt)
        self._tasks.start_soon(self._attempt, pool, ticket, link, attempt)

    def _may_send(self, ticket: Ticket) -> bool:
        """Tell whether a request that was started may still go out now."""
        now = clock.read()
        expired = ticket.outcome is not None or now >= ticket.request.deadline
        return not expired and self._limits.usable(ticket.request.organisation, now) > 0

    async def _attempt(
        self, pool: PoolRuntime, ticket: Ticket, link: BackendLink, attempt: Attempt
    ) -> None:
        """Run one attempt and settle its charge by what is known at its end."""
        error: AttemptError | None = None
        delivered: list[Answer] = []
        try:
            await link.exchange(
                ticket.request.forward,
                attempt,
                self._longest,
                delivered_to(ticket, delivered, pool, attempt),
            )
        except AttemptError as caught:
            error = caught
        except Exception:
            # A fault of ours or of a library must not end the entry with all its requests; what
            # became of this one is unknown.
            log.exception("attempt failed unexpectedly")
            error = AttemptError(Failure.INCOMPLETE_RESPONSE, "unexpected error")
        await link.close_idle()
        now = clock.read()
        del self._owners[attempt]
        self._settle_charge(ticket, attempt, error, now)
        pool.occupy(ticket.request.organisation, -1, now)
        self._conclude(pool, ticket, link.executor.name, error, delivered, now)
        self.dispatch_all(now)

    def _settle_charge(
        self, ticket: Ticket, attempt: Attempt, error: AttemptError | None, now: float
    ) -> None:
        organisation = ticket.request.organisation
        if error is not None and error.failure is Failure.INCOMPLETE_RESPONSE:
            self._charges.release_later(organisation, attempt.started + self._longest)
        else:
            self._charges.release(organisation)
        self._limits.note_demand(organisation)

    def dispatch_all(self, now: float) -> None:
        """Start what may start in any pool."""
        for pool in self._pools.values():
            if len(pool.queue):
                self.pump(pool, now)

    def _conclude(
        self,
        pool: PoolRuntime,
        ticket: Ticket,
        executor: str,
        error: AttemptError | None,
        delivered: list[Answer],
        now: float,
    ) -> None:
        """Turn the end of an attempt into the outcome, or into another attempt."""
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
            self._note_failure(pool, executor, failure, now)
            ticket.waiting.tried.add(executor)
        ticket.may_have_run |= failure is Failure.INCOMPLETE_RESPONSE
        ticket.last_answer = answer or ticket.last_answer
        if ticket.outcome is not None:
            if not ticket.running:
                ticket.conclude_late(None)
                self._tickets.pop(ticket.waiting, None)
            return
        self._retry_or_end(pool, ticket, failure, now)

    def _note_failure(self, pool: PoolRuntime, executor: str, failure: Failure, now: float) -> None:
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
        budget = pool.budget if self._budgeted else RetryBudget(0.0, bounded=False)
        decision = decide(failed, reachable, budget)
        if decision is RetryDecision.GIVE_UP or request.pool not in self._pools:
            self._finish(ticket, self._admission.after_failure(ticket, failure))
            return
        self._telemetry.retries.inc({"pool": request.pool, "kind": decision.name.lower()})
        pool.queue.remove(ticket.waiting)
        pool.queue.add(ticket.waiting, front=True)

    def _finish(self, ticket: Ticket, outcome: Answer | Refusal | None) -> None:
        """Set the outcome and forget the request, also a second attempt of it that waits."""
        self._tickets.pop(ticket.waiting, None)
        pool = self._pools.get(ticket.request.pool)
        if pool:
            pool.queue.remove(ticket.waiting)
        if outcome is not None:
            ticket.finish(outcome)
