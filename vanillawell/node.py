"""Put the scheduler's tasks of one entry together and run them from start to planned stop."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock, logs
from vanillawell.coordination.candidate import Candidate
from vanillawell.coordination.challenger import Challenger
from vanillawell.coordination.executor_link import DeposedError
from vanillawell.coordination.job_service import JobService
from vanillawell.coordination.policy_watch import PolicyWatch
from vanillawell.coordination.shard_owner import ShardOwner
from vanillawell.coordination.term import Term, TermLostError
from vanillawell.exceptions import StoreError
from vanillawell.protocol.work_documents import WorkKeys
from vanillawell.scheduler_telemetry import SchedulerTelemetry

if TYPE_CHECKING:
    from vanillawell.config.node_settings import NodeSettings
    from vanillawell.coordination.ports import Ports

log = logging.getLogger(__name__)

SHARD = "all"
"""Name of the only shard so far: all services belong to it."""

STOP_NOTICE = 2.6
"""Seconds between not being ready and closing.

The balancer asks each second and goes on sending callers until the second miss."""

GIVE_UP_BOUND = 1.0
"""Seconds for which an owner that has said its last word waits for the end of its lease."""

PASS_ON_BOUND = 1.0
"""Seconds for which a stopping entry tries to pass on a shard that it was just taking."""

HANDOVER_PAUSE = 0.6
"""Seconds between two tries to hand a shard over. The owner settles the first one, decides and
stores a turn in between; a slow store takes 0.4 s for a write."""

LAST_MOMENTS = 0.4
"""Seconds before the end of its process in which an owner tries no more to hand its shard over."""

LEAVE_BOUND = 0.3
"""Seconds of those for which it waits for the end of its lease."""

GIVE_WAY_BOUND = 3.0
"""Seconds for which an owner tries to hand its shard to a stronger entry, which asks that long."""


class Node:
    """One running scheduler process."""

    def __init__(self, settings: NodeSettings, ports: Ports) -> None:
        self._settings = settings
        self._ports = ports
        self._keys = WorkKeys()
        self.telemetry = SchedulerTelemetry()
        self._policies = PolicyWatch(
            ports.store, ports.documents.keys, ports.documents.policy, ports.documents.wave
        )
        bounds = settings.bounds
        revoke_bound = bounds.revoke_ms / 1000 if bounds.strict_revoke else None
        self.job_service = JobService(ports.store, self._keys, SHARD, self._policies, revoke_bound)
        self._candidate = Candidate(
            ports.store, self._keys, SHARD, settings.instance, settings.capacity
        )
        self._challenger = Challenger(
            ports.store, self._keys, SHARD, self._candidate.me, self._candidate.watch
        )
        self._owner: ShardOwner | None = None
        self._term: Term | None = None
        self._stopping = anyio.Event()
        self._candidacy = anyio.CancelScope()
        self._challenge_scope = anyio.CancelScope()
        self._handing_on = anyio.Lock()
        """A stop may be asked for while the shard is being handed to a stronger entry."""

    def refresh_telemetry(self) -> None:
        """Bring figures up to date that are kept elsewhere."""
        policy = self._policies.policy
        self.telemetry.policy_version.set({}, policy.version if policy else 0)
        self.telemetry.log_lines_dropped.set({}, logs.lines_dropped())

    @property
    def owns(self) -> bool:
        """Tell whether this entry owns the shard, as far as it knows."""
        return self._owner is not None and self._owner.loaded

    @property
    def term(self) -> Term | None:
        """Return this entry's ownership of the shard, if it has taken it."""
        return self._term

    async def run(self) -> None:
        """Follow the configuration and own the shard whenever it falls to this entry."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._policies.run)
            tasks.start_soon(self._candidate.follow)
            tasks.start_soon(self._own)
            tasks.start_soon(self._challenge)
            tasks.start_soon(self._give_way)

    async def _challenge(self) -> None:
        """Ask weaker owners for the shard until this entry is asked to stop."""
        with self._challenge_scope:
            await self._challenger.run()

    async def _give_way(self) -> None:
        """Hand the shard to whichever much stronger entry asks for it."""
        while True:
            stronger = await self._challenger.outbid()
            term, owner = self._term, self._owner
            if term is None or owner is None or self._stopping.is_set():
                continue
            fields = {"shard": SHARD, "token": term.token, "weakness": self._candidate.me.weakness}
            log.info("giving way", extra={**fields, "to": stronger.name})
            handed_on = await self._hand_on(term, owner, GIVE_WAY_BOUND)
            if not handed_on and term.is_closed:
                await self._leave(term, owner)

    async def _own(self) -> None:
        while not self._stopping.is_set():
            self._candidacy = anyio.CancelScope()
            with self._candidacy:
                self._term = await self._candidate.win()
            if self._term is None:
                return
            if self._stopping.is_set():
                await self._pass_on(self._term)
            else:
                await self._own_one_term(self._term)
            self._term = self._owner = None

    def _new_owner(self, term: Term) -> ShardOwner:
        return ShardOwner(
            SHARD, term, self._ports, self._keys, self._settings, self._policies, self.telemetry
        )

    async def _pass_on(self, term: Term) -> None:
        """Hand on a shard that this entry was taking as it was asked to stop."""
        log.info("shard taken while stopping", extra={"shard": SHARD, "token": term.token})
        owner = self._new_owner(term)
        if not await self._hand_on(term, owner, PASS_ON_BOUND):
            await self._leave(term, owner)

    async def _own_one_term(self, term: Term) -> None:
        self._owner = owner = self._new_owner(term)
        try:
            await owner.run()
        except* (TermLostError, DeposedError) as group:
            reasons = sorted({str(error) for error in group.exceptions})
            fields = {"shard": SHARD, "token": term.token, "reasons": reasons}
            log.warning("shard lost", extra=fields)
        except* Exception:
            # A fault in the owner's code must not end the process: it still takes jobs in, and
            # another entry takes the shard over once the lease has ended.
            log.exception("shard dropped", extra={"shard": SHARD, "token": term.token})

    @property
    def stop_duration(self) -> float:
        """Return the seconds between the request to stop and the end of the process."""
        return STOP_NOTICE + self._settings.bounds.grace_s / 4

    async def hand_over(self) -> None:
        """Stop owning, so that another entry takes over at once, and take nothing over any more.

        In a restart of all entries the owner hands over while others are stopping, too. One of
        those would take the shard for a second or two and leave it to its lease. An owner that
        can't hand over goes on until its process ends.
        """
        self._stopping.set()
        self._candidacy.cancel()
        self._challenge_scope.cancel()
        term, owner = self._term, self._owner
        if term is None or owner is None:
            return
        if not await self._hand_on(term, owner, self.stop_duration - LAST_MOMENTS):
            await self._leave(term, owner)

    async def _hand_on(self, term: Term, owner: ShardOwner, bound: float) -> bool:
        """Hand the shard on within `bound` seconds; tells whether it is no longer this entry's.

        What a successor has to know is stored first. As long as that fails the shard stays where
        it is, and between two tries its owner decides as ever: nobody else does.
        """
        until = clock.read() + bound
        with anyio.move_on_after(bound):
            async with self._handing_on:
                while self._term is term or term.is_closed:
                    if await self._try_to_hand_on(term, owner, until):
                        return True
                    await anyio.sleep(HANDOVER_PAUSE)
                return True
        return False

    async def _try_to_hand_on(self, term: Term, owner: ShardOwner, until: float) -> bool:
        """Try once to store what a successor has to know and to end the lease."""
        fields = {"shard": SHARD, "token": term.token}
        try:
            if not await owner.store_last_word(until):
                log.warning("shard not handed over", extra={**fields, "why": "bounds not stored"})
                return False
            with anyio.fail_after(GIVE_UP_BOUND):
                await term.give_up()
        except (StoreError, TimeoutError) as error:
            log.warning("shard not handed over", extra={**fields, "why": str(error)})
            return False
        except TermLostError:
            return True  # another entry owns it already
        log.info("shard given up", extra={**fields, "last_word": True})
        return True

    async def _leave(self, term: Term, owner: ShardOwner) -> None:
        """End the lease of a shard that could not be handed over, since nobody decides on it soon.

        What a successor finds is true without a last word, too: runs are in their records before
        they start, no lease is extended once a last word may be stored, and executors of which
        nothing is stored are taken to hold the longest leases.
        """
        fields = {"shard": SHARD, "token": term.token}
        owner.stop_placing()
        try:
            with anyio.fail_after(LEAVE_BOUND):
                await term.give_up()
        except (StoreError, TimeoutError) as error:
            log.warning("shard left to its lease", extra={**fields, "why": str(error)})
            return
        log.info("shard given up", extra={**fields, "last_word": term.is_closed})
        term.close()
