"""Write the claim to a shard and determine in time whether it took effect."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

from vanillawell.exceptions import LeaseEndedError, StoreError, StoreOutcomeUnknownError
from vanillawell.protocol.store import TransactionResult

if TYPE_CHECKING:
    from vanillawell.coordination.renewed_lease import RenewedLease
    from vanillawell.protocol.store import PolledStore, Put, Transaction

log = logging.getLogger(__name__)

RETRY_DELAY = 0.5
"""Seconds without an answer after which the write is sent again; a slow store takes 0.4 s."""

MAX_TRIES = 3
"""Maximum number of times that the write is sent."""

CLAIM_TIMEOUT = 2.0
"""Seconds after which an entry abandons a claim whose outcome is still unknown."""


class ShardClaim:
    """One write that takes a shard, repeated until an answer confirms its outcome.

    The write requires the revision of the key that it replaces, so it takes effect at most once. A
    try that finds its own value there proves that an earlier try took effect; no other claim may
    write the same value. The lease is renewed meanwhile, since ownership is of no use once the
    lease has expired.
    """

    def __init__(
        self, store: PolledStore, lease: RenewedLease, transaction: Transaction, marker: Put
    ) -> None:
        """Create a claim.

        Args:
            store: Store to write to.
            lease: Lease that the transaction attaches to the holder key.
            transaction: The write that takes the shard.
            marker: One put of the transaction; its key and value show that the write took effect.
        """
        self._store = store
        self._lease = lease
        self._transaction = transaction
        self._marker = marker
        self._result: TransactionResult | None = None
        self._failure: StoreError = StoreOutcomeUnknownError("not known whether the shard is taken")
        self._unresolved_tries = 0
        """Number of tries that may have taken effect or may still do so."""
        self._settled = anyio.Event()

    async def settle(self) -> TransactionResult:
        """Return whether the shard was taken, and at which revision; if not, the stored values.

        Raises:
            StoreUnavailableError: The shard was not taken and will not be.
            StoreOutcomeUnknownError: The shard may be taken now or later, until the lease expires.
                The lease is no longer renewed.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._renew_lease)
            with anyio.move_on_after(CLAIM_TIMEOUT):
                for _ in range(MAX_TRIES):
                    self._unresolved_tries += 1
                    tasks.start_soon(self._try)
                    with anyio.move_on_after(RETRY_DELAY):
                        await self._settled.wait()
                        break
                    log.warning("claim unanswered", extra={"key": self._marker.key})
                await self._settled.wait()
                if self._result is not None and self._result.succeeded:
                    await self._lease.wait_until_held()
            tasks.cancel_scope.cancel()
        if self._result is None:
            raise self._failure
        return self._result

    async def _renew_lease(self) -> None:
        self._fail(LeaseEndedError(await self._lease.renew_until_ended()))

    async def _try(self) -> None:
        try:
            result = await self._store.transact(self._transaction)
        except StoreOutcomeUnknownError as error:
            log.warning("claim not confirmed", extra={"why": str(error)})
        except StoreError as error:
            self._unresolved_tries -= 1
            if isinstance(error, LeaseEndedError) or not self._unresolved_tries:
                self._fail(error)
        else:
            self._result = self._combined_result(result)
            self._settled.set()

    def _fail(self, error: StoreError) -> None:
        self._failure = error
        self._settled.set()

    def _combined_result(self, result: TransactionResult) -> TransactionResult:
        """Return the outcome of all tries, given the answer to one of them."""
        stored = result.values.get(self._marker.key)
        if not result.succeeded and stored is not None and stored.value == self._marker.value:
            return TransactionResult(True, stored.mod_revision)
        return result
