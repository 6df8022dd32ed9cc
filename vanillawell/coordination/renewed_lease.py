"""Renew a lease of the store although single answers may be late or lost."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.exceptions import StoreError

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from vanillawell.protocol.store import PolledStore

log = logging.getLogger(__name__)

RENEWALS_PER_TTL = 4
"""Renewals sent within the duration of one lease."""

RENEWAL_RETRY_DELAY = 0.3
"""Seconds without an answer after which another renewal is sent in parallel."""

MAX_PENDING_RENEWALS = 4
"""Maximum number of pending renewals; the timeout of their calls exceeds the lease duration."""


class RenewedLease:
    """A lease of the store and the time until which it is certainly valid.

    A confirmed renewal counts from the time it was sent, however late its answer arrives, since the
    store carried it out after that. A renewal without an answer does not count.
    """

    def __init__(self, store: PolledStore, number: int, ttl: float, granted: float) -> None:
        """Create a lease from its id, its duration in seconds, and when its grant was requested."""
        self._store = store
        self._number = number
        self._ttl = ttl
        self._confirmed_at = granted
        """Time at which the latest confirmed renewal was sent."""
        self._last_sent = granted
        self._pending: set[float] = set()
        """Times at which the renewals without an answer were sent."""
        self._end_reason = ""
        """Reason why the lease is no longer renewed; empty while it is renewed."""
        self._answered = anyio.Event()

    @property
    def number(self) -> int:
        """Return the lease's id."""
        return self._number

    def is_held(self, now: float) -> bool:
        """Return whether the lease cannot have expired yet, by this process's clock."""
        return now < self._confirmed_at + self._ttl

    def lapsed_for(self, now: float) -> float:
        """Return the seconds since the lease may have expired; negative while it is valid."""
        return now - self._confirmed_at - self._ttl

    async def wait_until_held(self) -> None:
        """Wait for pending renewals while the lease is not certainly valid without them."""
        while self._pending and not self._end_reason and not self.is_held(clock.read()):
            await self._answered.wait()

    def stop_renewing(self, reason: str) -> None:
        """Stop renewing the lease, for this reason."""
        self._end_reason = reason

    async def renew_until_ended(self) -> str:
        """Renew the lease until it has certainly expired or renewal is stopped; return the reason.

        Cancellation drops pending answers. When called again, renewal continues from the latest
        confirmed one.
        """
        self._pending.clear()
        self._last_sent = self._confirmed_at
        async with anyio.create_task_group() as calls:
            while not self._end_reason:
                await self._wait_until_due()
                if not self._end_reason:
                    self._send(calls)
            calls.cancel_scope.cancel()
        return self._end_reason

    async def _wait_until_due(self) -> None:
        while not self._end_reason:
            left = self._due() - clock.read()
            if left <= 0:
                return
            with anyio.move_on_after(left):
                await self._answered.wait()

    def _due(self) -> float:
        """Return the time of `clock.read` at which the next renewal is due."""
        if len(self._pending) >= MAX_PENDING_RENEWALS:
            return float("inf")
        if self._is_latest_pending():
            return self._last_sent + RENEWAL_RETRY_DELAY
        return self._last_sent + self._ttl / RENEWALS_PER_TTL

    def _is_latest_pending(self) -> bool:
        return self._last_sent in self._pending

    def _send(self, calls: TaskGroup) -> None:
        """Send a renewal.

        It uses a new connection if the previous renewal has no answer, since the network path may
        have dropped the state of all open connections.
        """
        latest_pending, now = self._is_latest_pending(), clock.read()
        if latest_pending:
            fields = {"waiting": len(self._pending), "lapsed": round(self.lapsed_for(now), 3)}
            log.warning("renewal unanswered", extra=fields)
        self._last_sent = now
        self._pending.add(now)
        calls.start_soon(self._renew, now, latest_pending)

    async def _renew(self, sent: float, fresh: bool) -> None:
        try:
            alive = await self._store.keep_alive(self._number, fresh)
        except StoreError as error:
            lapsed = round(self.lapsed_for(clock.read()), 3)
            log.warning("lease not renewed", extra={"lapsed": lapsed, "why": str(error)})
        else:
            if alive:
                self._confirmed_at = max(self._confirmed_at, sent)
            else:
                self._end_reason = self._end_reason or "the lease has expired"
        finally:
            self._pending.discard(sent)
            self._answered.set()
            self._answered = anyio.Event()
