"""Write that a shard is taken, and learn in time whether it is."""

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

PATIENCE = 0.5
"""Seconds without an answer after which the write is sent once more; a slow store takes 0.4."""

TRIES = 3
"""Times that the write is sent."""

CLAIM_BOUND = 2.0
"""Seconds after which an entry that could not learn whether it has the shard gives it up."""


class ShardClaim:
    """One write that takes a shard, sent again until an answer tells its outcome.

    It requires the revision of the key that it replaces, so it takes effect once at most, and a try
    that finds its own value there tells that an earlier one did. That value has to be written by no
    other claim. The lease is renewed meanwhile: an outcome that is known as it ends is worth
    nothing.
    """

    def __init__(
        self, store: PolledStore, lease: RenewedLease, transaction: Transaction, proof: Put
    ) -> None:
        """Take the write, and the key and value by which one that took effect is known."""
        self._store = store
        self._lease = lease
        self._transaction = transaction
        self._proof = proof
        self._result: TransactionResult | None = None
        self._failure: StoreError = StoreOutcomeUnknownError("not known whether the shard is taken")
        self._in_doubt = 0
        """Tries that may have been carried out, or may be yet."""
        self._decided = anyio.Event()

    async def settle(self) -> TransactionResult:
        """Return whether the shard was taken, and the revision at which; if not, what is there.

        Raises:
            StoreUnavailableError: The shard was not taken, nor will be.
            StoreOutcomeUnknownError: It may be taken, or may be yet, for as long as the lease
                lasts. It is renewed no more.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._keep_lease)
            with anyio.move_on_after(CLAIM_BOUND):
                for _ in range(TRIES):
                    self._in_doubt += 1
                    tasks.start_soon(self._try)
                    with anyio.move_on_after(PATIENCE):
                        await self._decided.wait()
                        break
                    log.warning("claim unanswered", extra={"key": self._proof.key})
                await self._decided.wait()
                if self._result is not None and self._result.succeeded:
                    await self._lease.await_hold()
            tasks.cancel_scope.cancel()
        if self._result is None:
            raise self._failure
        return self._result

    async def _keep_lease(self) -> None:
        self._fail(LeaseEndedError(await self._lease.keep()))

    async def _try(self) -> None:
        try:
            result = await self._store.transact(self._transaction)
        except StoreOutcomeUnknownError as error:
            log.warning("claim not confirmed", extra={"why": str(error)})
        except StoreError as error:
            self._in_doubt -= 1
            if isinstance(error, LeaseEndedError) or not self._in_doubt:
                self._fail(error)
        else:
            self._result = self._without_doubt(result)
            self._decided.set()

    def _fail(self, error: StoreError) -> None:
        self._failure = error
        self._decided.set()

    def _without_doubt(self, result: TransactionResult) -> TransactionResult:
        """Return the outcome of all tries by the answer to one of them."""
        found = result.values.get(self._proof.key)
        if not result.succeeded and found is not None and found.value == self._proof.value:
            return TransactionResult(True, found.mod_revision)
        return result
