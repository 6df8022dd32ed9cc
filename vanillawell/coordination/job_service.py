"""Answer callers who hand in jobs, ask about them, or cancel them."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

import anyio
import orjson

from vanillawell import clock
from vanillawell.coordination.prefix_watch import Backoff
from vanillawell.coordination.store_health import PROBE_BOUND, StoreHealth
from vanillawell.exceptions import StoreError, StoreOutcomeUnknownError, StoreUnavailableError
from vanillawell.protocol.refusals import Reason, Refusal
from vanillawell.protocol.store import Compare, Put, Transaction
from vanillawell.protocol.verdict import Verdict
from vanillawell.protocol.work_documents import read_state, write_job
from vanillawell.state.work import JobState

if TYPE_CHECKING:
    from vanillawell.coordination.policy_watch import PolicyWatch
    from vanillawell.protocol.store import PolledStore
    from vanillawell.protocol.work_documents import WorkKeys
    from vanillawell.state.work import Job
    from vanillawell.state.work_policy import Queue

log = logging.getLogger(__name__)

FRESHNESS_MARGIN = 0.5
"""Seconds before the bound on withdrawn keys at which an entry stops trusting what it knows."""

STORE_RETRY_AFTER = 1.0
"""Seconds after which a caller may come back when the store was away; outages last seconds."""

DEFAULT_CALL_TIMEOUT = 2.5
"""Seconds for which an entry tries to answer a caller that named no time itself."""

TRIES_IN_DOUBT = 2
"""Tries without a clear answer of the store after which a caller is told that nothing is known."""

READY_BOUND = 3.5
"""Age of the configuration, in seconds, from which on callers are sent elsewhere.

While the store answers, the age stays below 2.7 s: two waiting calls and the time for which the
store may be deaf."""

ANSWER_MARGIN = 0.15
"""Seconds of a caller's time that are kept for the way of the answer, but a quarter at most."""


@dataclass(frozen=True, slots=True)
class Access:
    """A call that may go on."""

    queue: Queue
    organisation: str
    """Empty for a caller without a key on a queue that needs none."""


class JobService:
    """Check callers and turn their calls into reads and writes of the store."""

    def __init__(
        self,
        store: PolledStore,
        keys: WorkKeys,
        shard: str,
        policies: PolicyWatch,
        revoke_bound: float | None,
    ) -> None:
        self._store = store
        self._keys = keys
        self._shard = shard
        self._policies = policies
        self._revoke_bound = revoke_bound
        """Seconds after which a withdrawn key must not work; None if only for those in touch."""

        self._doubt = StoreHealth()
        policies.on_outcome(self._note_outcome)

    def _note_outcome(self, answered: bool) -> None:
        """Learn whether the store answers from the calls that this entry makes anyway.

        Otherwise the first job of each entry is written into a store that is away, and its caller
        can't be told that it has not run.
        """
        if answered:
            self._doubt.note_answer(clock.read())
        else:
            self._doubt.note_failure()

    def body_bound(self) -> int:
        """Return the bytes that a request body may have."""
        policy = self._policies.policy
        return policy.body_bound if policy else 0

    def basis(self, now: float) -> dict[str, object]:
        """Return the version and age of the configuration that decides now, for log lines."""
        policy, age = self._policies.policy, self._policies.age(now)
        return {
            "configuration": policy.version if policy else None,
            "age": round(age, 3) if age is not None else None,
        }

    def is_ready(self, now: float) -> bool:
        """Tell whether callers should be sent here."""
        age = self._policies.age(now)
        return age is not None and age < READY_BOUND

    def _is_fresh(self, now: float) -> bool:
        age = self._policies.age(now)
        if age is None:
            return False
        return self._revoke_bound is None or age < self._revoke_bound - FRESHNESS_MARGIN

    def admit(self, host: str, path: str, key_digest: str | None, now: float) -> Access | Refusal:
        """Check where a call goes and who makes it."""
        policy = self._policies.policy
        if policy is None:
            return _refuse(Reason.STARTING, retry_after=STORE_RETRY_AFTER)
        queue = policy.match(host, path)
        if queue is None:
            return _refuse(Reason.NO_SUCH_QUEUE)
        owner = policy.key_owners.get(key_digest) if key_digest else None
        if owner is None and queue.anonymous:
            return Access(queue, "")
        if not self._is_fresh(now):
            return _refuse(Reason.CONFIGURATION_STALE, retry_after=STORE_RETRY_AFTER)
        if owner is None:
            return _refuse(Reason.UNAUTHENTICATED)
        return Access(queue, owner)

    async def submit(self, job: Job, time_left: float) -> Refusal | None:
        """Store a job; None once it is stored for certain.

        A write without an answer may be carried out seconds later. So after one the job is either
        found to be stored, or the caller is told that nothing is known; never that it was refused.
        It is told soon: its next try goes to another entry, which may well reach the store. While
        the store is known to be silent no write is sent, so that the refusal is true.
        """
        data = write_job(job)
        order = Put(self._keys.submitted_job(job.job_id), data)
        news = Put(self._keys.new_job(job.job_id), data)
        create = Transaction(compares=[Compare(order.key, 0)], puts=[order, news])
        if self._doubt.is_doubtful() and not await self._store_answers(order.key):
            log.warning("job refused", extra={"job": job.job_id, "why": "the store is silent"})
            return _refuse(Reason.STORE_DOWN, retry_after=STORE_RETRY_AFTER)
        unknown = 0
        backoff = Backoff()
        with anyio.move_on_after(_budget(time_left)):
            while unknown < TRIES_IN_DOUBT:
                sent = clock.read()
                try:
                    result = await self._store.transact(create)
                except StoreUnavailableError as error:
                    if not unknown:
                        log.warning("job refused", extra={"job": job.job_id, "why": str(error)})
                        return _refuse(Reason.STORE_DOWN, retry_after=STORE_RETRY_AFTER)
                    unknown += 1
                except StoreOutcomeUnknownError as error:
                    unknown += 1
                    self._doubt.note_silence(sent, clock.read())
                    log.warning("job not confirmed", extra={"job": job.job_id, "why": str(error)})
                else:
                    self._doubt.note_answer(clock.read())
                    self._log_submitted(job, result.succeeded)
                    return None
                await backoff.wait()
        log.warning("job unknown", extra={"job": job.job_id})
        return Refusal(Reason.ACCEPTANCE_UNKNOWN, Verdict.MAY_HAVE_RUN)

    async def _store_answers(self, key: str) -> bool:
        """Tell by a reading of a key, which changes nothing, whether the store answers."""
        sent = clock.read()
        if self._doubt.is_silent(sent):
            return False
        try:
            with anyio.fail_after(PROBE_BOUND):
                await self._store.get(key)
        except (StoreError, TimeoutError):
            self._doubt.note_silence(sent, clock.read())
            return False
        self._doubt.note_answer(clock.read())
        return True

    def _log_submitted(self, job: Job, created: bool) -> None:
        fields = {"job": job.job_id, "queue": job.queue, "organisation": job.organisation}
        message = "job accepted" if created else "job known already"
        log.info(message, extra={**fields, **self.basis(clock.read())})

    async def show(self, job_id: str) -> JobState | Refusal:
        """Return the state of a job."""
        try:
            record = await self._store.get(self._keys.record(job_id))
            if record is not None:
                state = read_state(record.value)
                log.info(
                    "state told",
                    extra={"job": job_id, "state": state, "revision": record.mod_revision},
                )
                return state
            order = await self._store.get(self._keys.submitted_job(job_id))
        except (StoreError, ValueError) as error:
            log.warning("state not read", extra={"job": job_id, "why": str(error)})
            return _refuse(Reason.STORE_DOWN, retry_after=STORE_RETRY_AFTER)
        return _refuse(Reason.NO_SUCH_JOB) if order is None else JobState.QUEUED

    async def cancel(self, job_id: str, time_left: float) -> Refusal | None:
        """Ask for a job to be cancelled; None once that is stored."""
        put = Put(self._keys.cancel(job_id), b"")
        backoff = Backoff()
        with anyio.move_on_after(_budget(time_left)):
            while True:
                try:
                    if await self._store.get(self._keys.submitted_job(job_id)) is None:
                        return _refuse(Reason.NO_SUCH_JOB)
                    await self._store.transact(Transaction(puts=[put]))
                except StoreError as error:
                    log.warning("cancel not stored", extra={"job": job_id, "why": str(error)})
                    await backoff.wait()
                    continue
                log.info("cancel accepted", extra={"job": job_id})
                return None
        return Refusal(Reason.ACCEPTANCE_UNKNOWN, Verdict.MAY_HAVE_RUN)

    async def pending(self, queue: Queue) -> int | Refusal:
        """Return the number of a queue's jobs for which no task has started."""
        try:
            found = await self._store.get(self._keys.pending(self._shard))
        except StoreError as error:
            log.warning("counts not read", extra={"queue": queue.name, "why": str(error)})
            return _refuse(Reason.STORE_DOWN, retry_after=STORE_RETRY_AFTER)
        counts = orjson.loads(found.value) if found else {}
        return int(counts.get(queue.name, 0))


def _refuse(reason: Reason, retry_after: float | None = None) -> Refusal:
    return Refusal(reason, Verdict.NOT_RUN, retry_after=retry_after)


def _budget(time_left: float) -> float:
    """Return the seconds in which the store has to answer, of those that a caller waits."""
    return max(0.75 * time_left, time_left - ANSWER_MARGIN)
