"""Look jobs up in the store, for the calls that may access them."""

from __future__ import annotations

import logging
from dataclasses import replace
from typing import TYPE_CHECKING

from vanillawell.protocol.queue_documents import read_key_id
from vanillawell.protocol.work_documents import RecordSummary, read_origin, read_summary
from vanillawell.state.job_access import depends_on_key, may_access
from vanillawell.state.work import JobState

if TYPE_CHECKING:
    from vanillawell.coordination.policy_watch import PolicyWatch
    from vanillawell.protocol.store import KeyValue, PolledStore
    from vanillawell.protocol.work_keys import WorkKeys
    from vanillawell.state.job_access import Access, JobOrigin

log = logging.getLogger(__name__)


class JobLookup:
    """Read jobs and decide, by the configuration in force, who may access them."""

    def __init__(self, store: PolledStore, keys: WorkKeys, policies: PolicyWatch) -> None:
        self._store = store
        self._keys = keys
        self._policies = policies

    async def state(self, job_id: str, access: Access) -> JobState | None:
        """Return the state of a job; None if there is none that the call may access.

        The record names what the job was submitted with, so that one read is enough as a rule.

        Raises:
            StoreError: The store gave no answer.
            ValueError: The record is malformed.
        """
        record = await self._store.get(self._keys.record(job_id))
        summary = read_summary(record.value) if record else RecordSummary(JobState.QUEUED, None)
        if summary.origin is None or not self._is_granted(access, summary.origin):
            submitted = await self._store.get(self._keys.submitted_job(job_id))
            if submitted is None or not await self.may_access(job_id, access, submitted):
                return None
        if record is not None:
            fields = {"state": summary.state, "revision": record.mod_revision}
            log.info("state told", extra={"job": job_id, **fields})
        return summary.state

    async def may_access(self, job_id: str, access: Access, submitted: KeyValue) -> bool:
        """Return whether a call may access the job in this document; log it if not.

        Raises:
            StoreError: It depends on the job's key, which could not be read.
        """
        policy = self._policies.policy
        try:
            origin = read_origin(submitted.value)
            if policy is not None and depends_on_key(access, origin, policy):
                rules = await self._store.get(self._keys.job_rules(job_id))
                origin = replace(origin, key_id=read_key_id(rules.value) if rules else "")
        except ValueError as error:
            log.error("job document unreadable", extra={"job": job_id, "reason": str(error)})
            return False
        if self._is_granted(access, origin):
            return True
        fields = {"queue": access.queue.name, "organisation": access.organisation}
        log.info("job of another organisation", extra={"job": job_id, **fields})
        return False

    def _is_granted(self, access: Access, origin: JobOrigin) -> bool:
        policy = self._policies.policy
        return policy is not None and may_access(access, origin, policy)
