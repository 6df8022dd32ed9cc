"""Keep a lease of the store up though single answers to its renewals are late or lost."""

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

RENEWALS = 3
"""Renewals in the time of one lease."""

DOUBT = 0.3
"""Seconds without an answer after which another renewal is sent beside the one in doubt."""

RENEWALS_AT_ONCE = 4
"""Renewals under way at a time; their answers are waited for longer than the lease may last."""


class RenewedLease:
    """One lease of the store, and until when it surely holds.

    A confirmed renewal counts from its sending, however late its answer comes: the store carried it
    out after that. One without an answer counts for nothing.
    """

    def __init__(self, store: PolledStore, number: int, ttl: float, granted: float) -> None:
        """Take the lease's id, the seconds it lasts, and when its grant was sent."""
        self._store = store
        self._number = number
        self._ttl = ttl
        self._confirmed = granted
        """When the latest renewal was sent that is known to have been carried out."""
        self._sent = granted
        self._under_way: set[float] = set()
        """When the renewals were sent that have no answer yet."""
        self._ended = ""
        """Why it is not renewed any more; empty while it is."""
        self._answered = anyio.Event()

    @property
    def number(self) -> int:
        """Return the lease's id."""
        return self._number

    def is_held(self, now: float) -> bool:
        """Tell whether it can't have ended yet, by this process's clock."""
        return now < self._confirmed + self._ttl

    def lapsed_for(self, now: float) -> float:
        """Return the seconds since it may have ended; negative while it holds."""
        return now - self._confirmed - self._ttl

    async def await_hold(self) -> None:
        """Wait for renewals under way unless it is held without them."""
        while self._under_way and not self._ended and not self.is_held(clock.read()):
            await self._answered.wait()

    def let_go(self, reason: str) -> None:
        """Renew it no more."""
        self._ended = reason

    async def keep(self) -> str:
        """Renew it until it has ended for certain or is let go; returns why.

        Broken off, this drops the answers that are under way; begun again, it counts from the
        latest renewal that was confirmed.
        """
        self._under_way.clear()
        self._sent = self._confirmed
        async with anyio.create_task_group() as calls:
            while not self._ended:
                await self._wait_until_due()
                if not self._ended:
                    self._send(calls)
            calls.cancel_scope.cancel()
        return self._ended

    async def _wait_until_due(self) -> None:
        while not self._ended:
            left = self._due() - clock.read()
            if left <= 0:
                return
            with anyio.move_on_after(left):
                await self._answered.wait()

    def _due(self) -> float:
        """Return the clock of decisions at which the next renewal is to be sent."""
        if len(self._under_way) >= RENEWALS_AT_ONCE:
            return float("inf")
        if self._is_in_doubt():
            return self._sent + DOUBT
        return self._sent + self._ttl / RENEWALS

    def _is_in_doubt(self) -> bool:
        return self._sent in self._under_way

    def _send(self, calls: TaskGroup) -> None:
        """Send a renewal; over a new connection if the one before it has no answer, since the path
        may have lost track of all that are open."""
        in_doubt, now = self._is_in_doubt(), clock.read()
        if in_doubt:
            fields = {"waiting": len(self._under_way), "lapsed": round(self.lapsed_for(now), 3)}
            log.warning("renewal unanswered", extra=fields)
        self._sent = now
        self._under_way.add(now)
        calls.start_soon(self._renew, now, in_doubt)

    async def _renew(self, sent: float, fresh: bool) -> None:
        try:
            alive = await self._store.keep_alive(self._number, fresh)
        except StoreError as error:
            lapsed = round(self.lapsed_for(clock.read()), 3)
            log.warning("lease not renewed", extra={"lapsed": lapsed, "why": str(error)})
        else:
            if alive:
                self._confirmed = max(self._confirmed, sent)
            else:
                self._ended = self._ended or "the lease has ended"
        finally:
            self._under_way.discard(sent)
            self._answered.set()
            self._answered = anyio.Event()
