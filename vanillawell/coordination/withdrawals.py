"""Keep jobs from being accepted after their cancellation was answered with "no such job".

The write that creates a job may be carried out seconds after its caller has given up. So a
cancellation that finds no job leaves a key that every such write requires to be absent. The store
carries out one of the two: the job exists and is cancelled as any other, or it never will.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from vanillawell.exceptions import LeaseEndedError
from vanillawell.protocol.store import Compare, Put, Transaction

if TYPE_CHECKING:
    from vanillawell.protocol.store import PolledStore
    from vanillawell.protocol.work_keys import WorkKeys

LEASE_DURATION = 120.0
"""Seconds after which the store removes the keys that were attached to one lease."""

LEASE_USE = 60.0
"""Seconds for which keys are attached to a lease, so that each stays for as long at least; writes
without an answer are carried out within seconds, and callers repeat theirs within minutes."""


class Withdrawals:
    """Write the keys of withdrawn jobs for one entry."""

    def __init__(self, store: PolledStore, keys: WorkKeys) -> None:
        self._store = store
        self._keys = keys
        self._lease = 0
        self._lease_granted_at = float("-inf")

    async def withdraw(self, job_id: str, now: float) -> bool:
        """Make sure that a job which does not exist will not either.

        Returns:
            Whether it is withdrawn; False if it exists by now.

        Raises:
            StoreError: It is not known to be withdrawn; repeating the call has no further effect.
        """
        lease = await self._current_lease(now)
        transaction = Transaction(
            compares=[Compare(self._keys.submitted_job(job_id), 0)],
            puts=[Put(self._keys.withdrawn_job(job_id), b"", lease)],
        )
        try:
            result = await self._store.transact(transaction)
        except LeaseEndedError:
            self._lease_granted_at = float("-inf")
            raise
        return result.succeeded

    async def _current_lease(self, now: float) -> int:
        if now - self._lease_granted_at >= LEASE_USE:
            self._lease = await self._store.grant_lease(LEASE_DURATION)
            self._lease_granted_at = now
        return self._lease
