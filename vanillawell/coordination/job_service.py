"""Serve callers who submit jobs, query their state or cancel them."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.coordination.job_lookup import JobLookup
from vanillawell.coordination.prefix_watch import Backoff
from vanillawell.coordination.store_health import PROBE_TIMEOUT, StoreHealth
from vanillawell.coordination.withdrawals import Withdrawals
from vanillawell.exceptions import (
    StoreError,
    StoreOutcomeUnknownError,
    StoreRejectedError,
    StoreUnavailableError,
)
from vanillawell.protocol.queue_documents import read_pending, write_job_rules
from vanillawell.protocol.refusals import Reason, Refusal
from vanillawell.protocol.store import Compare, Put, Transaction
from vanillawell.protocol.verdict import Verdict
from vanillawell.protocol.work_documents import write_job
from vanillawell.state.job_access import KEY_ID_LENGTH, Access
from vanillawell.state.job_size import exceeded_bound
from vanillawell.state.work import JobState

if TYPE_CHECKING:
    from vanillawell.coordination.policy_watch import PolicyWatch
    from vanillawell.protocol.store import KeyValue, PolledStore, TransactionResult
    from vanillawell.protocol.work_keys import WorkKeys
    from vanillawell.state.contention.entry_readiness import EntryReadiness
    from vanillawell.state.work import Job
    from vanillawell.state.work_policy import Queue

log = logging.getLogger(__name__)

FRESHNESS_MARGIN = 0.5
"""Seconds before the bound on withdrawn keys at which the configuration counts as stale."""

STORE_RETRY_AFTER = 1.0
"""Seconds after which a caller may retry when the store was unreachable; outages last seconds."""

DEFAULT_CALL_TIMEOUT = 2.5
"""Seconds within which to answer a caller that sent no deadline."""

MAX_UNCONFIRMED_TRIES = 2
"""Number of writes with unknown outcome after which the caller is told that the outcome is
unknown."""

MAX_READY_AGE = 3.5
"""Age of the configuration, in seconds, from which the entry reports itself as not ready.

While the store answers, the age stays below 2.7 s: two waiting calls plus the maximum delay of
changes."""

RESPONSE_MARGIN = 0.15
"""Seconds of a caller's time that are reserved for the response, but at most a quarter of it."""


class JobService:
    """Authorise callers and translate their calls to reads and writes of the store."""

    def __init__(
        self,
        store: PolledStore,
        keys: WorkKeys,
        shard: str,
        policies: PolicyWatch,
        revoke_bound: float | None,
        readiness: EntryReadiness,
        value_limit: int,
    ) -> None:
        self._store = store
        self._keys = keys
        self._shard = shard
        self._policies = policies
        self._revoke_bound = revoke_bound
        """Seconds after which a withdrawn key must be refused; None if that only applies while the
        store is reachable."""

        self._readiness = readiness
        self._value_limit = value_limit
        """Bytes of the largest value that the store holds."""

        self._lookup = JobLookup(store, keys, policies)
        self._store_health = StoreHealth()
        self._withdrawals = Withdrawals(store, keys)
        policies.on_outcome(self._record_outcome)

    def _record_outcome(self, answered: bool) -> None:
        """Record whether the store answers the configuration watch.

        Otherwise the first job of each entry would be written while the store is unreachable, and
        its caller could not be told that the job has not run.
        """
        self._readiness.record_store(answered, clock.read())
        if answered:
            self._store_health.record_answer(clock.read())
        else:
            self._store_health.record_failure()

    def body_bound(self) -> int:
        """Return the maximum size of a request body in bytes."""
        policy = self._policies.policy
        return policy.body_bound if policy else 0

    def configuration_fields(self, now: float) -> dict[str, object]:
        """Return the version and age of the configuration in force, as fields of log lines."""
        policy, age = self._policies.policy, self._policies.age(now)
        return {
            "configuration": policy.version if policy else None,
            "age": round(age, 3) if age is not None else None,
        }

    def is_ready(self, now: float) -> bool:
        """Return whether this entry should receive callers."""
        age = self._policies.age(now)
        return age is not None and age < MAX_READY_AGE and self._readiness.is_ready(now)

    def _is_fresh(self, now: float) -> bool:
        age = self._policies.age(now)
        if age is None:
            return False
        return self._revoke_bound is None or age < self._revoke_bound - FRESHNESS_MARGIN

    def admit(self, host: str, path: str, key_digest: str | None, now: float) -> Access | Refusal:
        """Determine the queue and the organisation of a call, or refuse it.

        A key that is not known is refused on every queue: it may have been withdrawn.
        """
        policy = self._policies.policy
        if policy is None:
            return _refuse(Reason.STARTING, retry_after=STORE_RETRY_AFTER)
        queue = policy.match(host, path)
        if queue is None:
            return _refuse(Reason.NO_SUCH_QUEUE)
        if key_digest is None and queue.anonymous:
            return Access(queue, "")
        if not self._is_fresh(now):
            return _refuse(Reason.CONFIGURATION_STALE, retry_after=STORE_RETRY_AFTER)
        owner = policy.key_owners.get(key_digest) if key_digest else None
        if owner is None:
            return _refuse(Reason.UNAUTHENTICATED)
        assert key_digest is not None
        return Access(queue, owner, key_digest[:KEY_ID_LENGTH])

    async def submit(self, job: Job, access: Access, time_left: float) -> Refusal | None:
        """Store a job with the rules of its queue; return None once it is certainly stored.

        The owner that reads the job may know only a configuration without the queue.

        A write without an answer may be carried out seconds later. So after one the job is either
        confirmed as stored, or the caller is told that the outcome is unknown; never that the job
        was refused. The caller is told early, since its retry goes to another entry that may reach
        the store. While the store is known to be unresponsive no write is sent, so that a refusal
        is correct.
        """
        data = write_job(job)
        too_large = exceeded_bound(job) or self._excess_bytes(data)
        if too_large:
            log.info("job refused", extra={"job": job.job_id, "why": too_large})
            return Refusal(Reason.JOB_TOO_LARGE, Verdict.NOT_RUN, too_large)
        create = self._creation(job, access, data)
        if self._store_health.needs_probe() and not await self._store_answers(job.job_id):
            log.warning("job refused", extra={"job": job.job_id, "why": "the store is silent"})
            return _refuse(Reason.STORE_DOWN, retry_after=STORE_RETRY_AFTER)
        unknown = 0
        backoff = Backoff()
        with anyio.move_on_after(_store_timeout(time_left)):
            while unknown < MAX_UNCONFIRMED_TRIES:
                sent = clock.read()
                try:
                    result = await self._store.transact(create)
                except StoreRejectedError as error:
                    log.error("job refused", extra={"job": job.job_id, "why": str(error)})
                    return Refusal(Reason.JOB_TOO_LARGE, Verdict.NOT_RUN)
                except StoreUnavailableError as error:
                    self._readiness.record_store(False, clock.read())
                    if not unknown:
                        log.warning("job refused", extra={"job": job.job_id, "why": str(error)})
                        return _refuse(Reason.STORE_DOWN, retry_after=STORE_RETRY_AFTER)
                    unknown += 1
                except StoreOutcomeUnknownError as error:
                    unknown += 1
                    self._store_health.record_timeout(sent, clock.read())
                    log.warning("job not confirmed", extra={"job": job.job_id, "why": str(error)})
                else:
                    self._store_health.record_answer(clock.read())
                    self._readiness.record_store(True, clock.read())
                    return await self._conclude_submission(job, access, result)
                await backoff.wait()
        log.warning("job unknown", extra={"job": job.job_id})
        return Refusal(Reason.ACCEPTANCE_UNKNOWN, Verdict.MAY_HAVE_RUN)

    def _creation(self, job: Job, access: Access, data: bytes) -> Transaction:
        """Return the write that accepts a job, unless it exists or was withdrawn."""
        order = Put(self._keys.submitted_job(job.job_id), data)
        notice = Put(self._keys.new_job(job.job_id), data)
        rules = Put(self._keys.job_rules(job.job_id), write_job_rules(access.queue, access.key_id))
        withdrawn = self._keys.withdrawn_job(job.job_id)
        return Transaction(
            compares=[Compare(order.key, 0), Compare(withdrawn, 0)], puts=[order, rules, notice]
        )

    async def _conclude_submission(
        self, job: Job, access: Access, result: TransactionResult
    ) -> Refusal | None:
        """Return what the outcome of that write means for the caller; None if the job is stored."""
        earlier = result.values.get(self._keys.submitted_job(job.job_id))
        if earlier is not None and not result.succeeded:
            try:
                is_repeat = await self._lookup.may_access(job.job_id, access, earlier)
            except StoreError as error:
                log.warning("job not confirmed", extra={"job": job.job_id, "why": str(error)})
                return Refusal(Reason.ACCEPTANCE_UNKNOWN, Verdict.MAY_HAVE_RUN)
            if not is_repeat:
                return _refuse(Reason.JOB_ID_TAKEN)
        elif not result.succeeded and self._keys.withdrawn_job(job.job_id) in result.values:
            log.info("job refused", extra={"job": job.job_id, "why": "withdrawn"})
            return _refuse(Reason.JOB_WITHDRAWN)
        self._log_submitted(job, result.succeeded)
        return None

    def _excess_bytes(self, data: bytes) -> str:
        """Return why a job's document has no place in the store; empty if it has."""
        if len(data) <= self._value_limit:
            return ""
        return f"{len(data)} bytes as stored; at most {self._value_limit}"

    async def _store_answers(self, job_id: str) -> bool:
        """Return whether the store answers, determined by reading the key of a job."""
        sent = clock.read()
        if self._store_health.is_unresponsive(sent):
            return False
        try:
            with anyio.fail_after(PROBE_TIMEOUT):
                await self._store.get(self._keys.submitted_job(job_id))
        except (StoreError, TimeoutError):
            self._store_health.record_timeout(sent, clock.read())
            return False
        self._store_health.record_answer(clock.read())
        return True

    def _log_submitted(self, job: Job, created: bool) -> None:
        fields = {"job": job.job_id, "queue": job.queue, "organisation": job.organisation}
        message = "job accepted" if created else "job known already"
        log.info(message, extra={**fields, **self.configuration_fields(clock.read())})

    async def show(self, job_id: str, access: Access) -> JobState | Refusal:
        """Return the state of a job that the call may access."""
        try:
            state = await self._lookup.state(job_id, access)
        except (StoreError, ValueError) as error:
            log.warning("job state not read", extra={"job": job_id, "why": str(error)})
            return _refuse(Reason.STORE_DOWN, retry_after=STORE_RETRY_AFTER)
        return _refuse(Reason.NO_SUCH_JOB) if state is None else state

    async def cancel(self, job_id: str, access: Access, time_left: float) -> Refusal | None:
        """Request the cancellation of a job; return None once the request is stored.

        That there is no such job is told only once none can be created any more by a write that is
        still on its way. Each step is repeated until its outcome is known.
        """
        backoff = Backoff()
        with anyio.move_on_after(_store_timeout(time_left)):
            while True:
                try:
                    order = await self._store.get(self._keys.submitted_job(job_id))
                    if order is not None:
                        if not await self._lookup.may_access(job_id, access, order):
                            return _refuse(Reason.NO_SUCH_JOB)
                        if await self._store_cancellation(job_id, order):
                            log.info("cancellation accepted", extra={"job": job_id})
                            return None
                    elif await self._withdrawals.withdraw(job_id, clock.read()):
                        log.info("job withdrawn", extra={"job": job_id})
                        return _refuse(Reason.NO_SUCH_JOB)
                except StoreError as error:
                    log.warning("cancellation not stored", extra={"job": job_id, "why": str(error)})
                    await backoff.wait()
        return Refusal(Reason.ACCEPTANCE_UNKNOWN, Verdict.MAY_HAVE_RUN)

    async def _store_cancellation(self, job_id: str, order: KeyValue) -> bool:
        """Store the request to cancel an accepted job; return False if the job is gone by now."""
        request = Transaction(
            compares=[Compare(order.key, order.mod_revision)],
            puts=[Put(self._keys.cancel(job_id), b"")],
        )
        return (await self._store.transact(request)).succeeded

    async def pending(self, queue: Queue) -> int | Refusal:
        """Return the number of a queue's jobs for which no task has started."""
        try:
            stored = await self._store.get(self._keys.pending(self._shard))
        except StoreError as error:
            log.warning(
                "pending job counts not read", extra={"queue": queue.name, "why": str(error)}
            )
            return _refuse(Reason.STORE_DOWN, retry_after=STORE_RETRY_AFTER)
        try:
            counts = read_pending(stored.value) if stored else {}
        except ValueError as error:
            log.error("pending job counts unreadable", extra={"why": str(error)})
            return _refuse(Reason.STORE_DOWN, retry_after=STORE_RETRY_AFTER)
        return counts.get(queue.name, 0)


def _refuse(reason: Reason, retry_after: float | None = None) -> Refusal:
    return Refusal(reason, Verdict.NOT_RUN, retry_after=retry_after)


def _store_timeout(time_left: float) -> float:
    """Return the seconds of the caller's remaining time within which the store has to answer."""
    return max(0.75 * time_left, time_left - RESPONSE_MARGIN)
