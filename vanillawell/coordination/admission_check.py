"""Decide whether a request is refused before it is started, and with which refusal."""

from __future__ import annotations

from typing import TYPE_CHECKING

from vanillawell.protocol.refusals import Reason, Refusal
from vanillawell.protocol.verdict import Verdict
from vanillawell.state.admission import QueueState, admit, with_jitter, worth_starting
from vanillawell.state.retries import Failure

if TYPE_CHECKING:
    import random

    from vanillawell.coordination.pool_runtime import PoolRuntime
    from vanillawell.coordination.tickets import CheckedRequest, LimitSource, Ticket
    from vanillawell.protocol.backend_calls import Answer
    from vanillawell.state.policy import OrganisationPolicy
    from vanillawell.state.queueing import WaitingRequest

NO_BACKEND_RETRY_AFTER = 1.0
"""Seconds after which to retry a service whose backend servers are unreachable."""

NO_UNITS_RETRY_AFTER = 0.5
"""Seconds after which to retry; the load balancer may then choose an entry that holds units of the
organisation's limit."""


class AdmissionCheck:
    """Refuse requests that cannot be answered in time, with a delay after which to retry."""

    def __init__(self, limits: LimitSource, rng: random.Random) -> None:
        self._limits = limits
        self._rng = rng

    def on_arrival(
        self,
        request: CheckedRequest,
        pool: PoolRuntime,
        organisation: OrganisationPolicy,
        now: float,
    ) -> Refusal | None:
        """Return the refusal of an arriving request, or None if it may be queued."""
        if not pool.links:
            return self.no_backend("the pool is empty")
        by_limit = float(self._limits.usable(request.organisation, now))
        if not by_limit and not self._limits.can_acquire():
            return self.no_units(Verdict.NOT_RUN)
        state = QueueState(
            length=pool.queue.length(request.organisation),
            bound=organisation.queue_length,
            service_time=pool.service_time.mean,
            slots=min(pool.slots_of(request.organisation), by_limit),
        )
        verdict = admit(state, request.deadline - now, self._rng)
        if verdict.admitted:
            return None
        reason = Reason.QUEUE_FULL if verdict.queue_full else Reason.CANNOT_FINISH
        return Refusal(reason, Verdict.NOT_RUN, retry_after=verdict.retry_after)

    def no_units(self, verdict: Verdict) -> Refusal:
        """Return the refusal of a request whose limit units cannot be acquired now."""
        wait = with_jitter(NO_UNITS_RETRY_AFTER, self._rng)
        return Refusal(Reason.NO_UNITS, verdict, retry_after=wait)

    def no_backend(self, detail: str = "") -> Refusal:
        """Return the refusal of a request for which no backend server can be reached."""
        wait = with_jitter(NO_BACKEND_RETRY_AFTER, self._rng)
        return Refusal(Reason.NO_BACKEND, Verdict.NOT_RUN, detail, wait)

    def worth_starting(self, pool: PoolRuntime, item: WaitingRequest, now: float) -> bool:
        """Return whether a queued request has enough time left to be started."""
        others_wait = pool.queue.length(item.organisation) > 0
        return worth_starting(item.deadline - now, pool.service_time.typical_minimum, others_wait)

    def cannot_finish(self, pool: PoolRuntime, ticket: Ticket) -> Answer | Refusal:
        """Return the final outcome of a request that has too little time left."""
        wait = with_jitter(pool.service_time.mean, self._rng)
        refusal = Refusal(Reason.CANNOT_FINISH, ticket.verdict_if_aborted, retry_after=wait)
        return ticket.last_answer or refusal

    def after_failure(self, ticket: Ticket, failure: Failure) -> Answer | Refusal:
        """Return the final outcome of a failed request that is not retried."""
        if ticket.last_answer is not None:
            return ticket.last_answer
        if ticket.may_have_run:
            return Refusal(Reason.BACKEND_FAILED, Verdict.MAY_HAVE_RUN)
        if failure in (Failure.REFUSED_FULL, Failure.TOO_LATE):
            return Refusal(Reason.DEADLINE, Verdict.NOT_RUN)
        return self.no_backend()
