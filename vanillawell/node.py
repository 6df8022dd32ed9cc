"""Assemble the scheduler of one entry and run it from its start to a planned stop."""

from __future__ import annotations

import logging
from collections import Counter
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock, logs
from vanillawell.coordination import loop_lag
from vanillawell.coordination.candidate import Candidate
from vanillawell.coordination.challenger import Challenger
from vanillawell.coordination.executor_link import DeposedError
from vanillawell.coordination.job_service import JobService
from vanillawell.coordination.policy_watch import PolicyWatch
from vanillawell.coordination.shard_owner import ShardOwner
from vanillawell.coordination.term import Term, TermLostError
from vanillawell.exceptions import StoreError
from vanillawell.protocol.work_keys import WorkKeys
from vanillawell.scheduler_telemetry import SchedulerTelemetry
from vanillawell.state.contention.entry_readiness import EntryReadiness
from vanillawell.state.end_proofs import EndProof
from vanillawell.state.registrations import IgnoredBecause

if TYPE_CHECKING:
    from vanillawell.config.node_settings import NodeSettings
    from vanillawell.coordination.ports import Ports
    from vanillawell.state.shard import Shard

log = logging.getLogger(__name__)

SHARD = "all"
"""Name of the only shard; all services belong to it."""

STOP_NOTICE = 2.6
"""Seconds between reporting as not ready and closing the listeners.

The load balancer polls every second and sends callers until the second failed check."""

RELEASE_TIMEOUT = 1.0
"""Seconds to wait for the revocation of the lease once the final lease document is stored."""

STOPPING_HAND_OVER_TIMEOUT = 1.0
"""Seconds for which a stopping entry tries to hand over a shard that it has just taken."""

HAND_OVER_RETRY_INTERVAL = 0.6
"""Seconds between two tries to hand a shard over.

In between, the owner resolves the outcome of the first try and runs a scheduling cycle; a slow
store takes 0.4 s for a write."""

HAND_OVER_MARGIN = 0.4
"""Seconds before the end of the process at which an owner stops trying to hand its shard over."""

FINAL_RELEASE_TIMEOUT = 0.3
"""Seconds of `HAND_OVER_MARGIN` to wait for the revocation of the lease."""

BIDDER_HAND_OVER_TIMEOUT = 3.0
"""Seconds for which an owner tries to hand its shard to a bidder; a bid is valid that long."""


class Node:
    """One running scheduler process."""

    def __init__(self, settings: NodeSettings, ports: Ports) -> None:
        self._settings = settings
        self._ports = ports
        self._keys = WorkKeys()
        self.telemetry = SchedulerTelemetry()
        self._policies = PolicyWatch(
            ports.store,
            ports.documents.keys,
            ports.documents.policy,
            ports.documents.wave,
            settings.zones,
        )
        bounds = settings.bounds
        revoke_bound = bounds.revoke_ms / 1000 if bounds.strict_revoke else None
        self._readiness = EntryReadiness(settings.instance)
        self.job_service = JobService(
            ports.store,
            self._keys,
            SHARD,
            self._policies,
            revoke_bound,
            self._readiness,
            settings.value_bytes,
        )
        shortest_lease = settings.shortest_lease_ms / 1000
        self._candidate = Candidate(
            ports.store, self._keys, SHARD, settings.instance, settings.capacity, shortest_lease
        )
        self._challenger = Challenger(
            ports.store,
            self._keys,
            SHARD,
            self._candidate.contender,
            self._candidate.holder_watch,
            shortest_lease,
        )
        self._owner: ShardOwner | None = None
        self._term: Term | None = None
        self._stopping = anyio.Event()
        self._candidacy_scope = anyio.CancelScope()
        self._challenge_scope = anyio.CancelScope()
        self._hand_over_lock = anyio.Lock()
        """Serialises hand-overs, since a stop may be requested during a hand-over to a bidder."""

    def refresh_telemetry(self) -> None:
        """Update the metrics whose values are kept elsewhere."""
        policy = self._policies.policy
        self.telemetry.policy_version.set({}, policy.version if policy else 0)
        self.telemetry.log_lines_dropped.set({}, logs.lines_dropped())
        self.telemetry.evacuated_zones.set({}, len(self._policies.evacuated_zones.names))
        shard = self.owned_shard
        self.telemetry.evacuated_executors.set({}, shard.ledger.count_evacuated() if shard else 0)
        self.telemetry.surplus_jobs.set({}, shard.surplus_jobs if shard else 0)
        ignored = shard.registrations.count_ignored() if shard else Counter()
        for reason in IgnoredBecause:
            self.telemetry.registrations_ignored.set({"reason": reason.value}, ignored[reason])
        for proof in EndProof:
            closed = shard.closed_runs[proof] if shard else 0
            self.telemetry.runs_closed.set({"proof": proof.value}, closed)

    @property
    def owns(self) -> bool:
        """Return whether this entry owns the shard, as far as known."""
        return self._owner is not None and self._owner.loaded

    @property
    def owned_shard(self) -> Shard | None:
        """Return the scheduling state of the shard; None if this entry does not own it."""
        return self._owner.shard if self._owner else None

    @property
    def term(self) -> Term | None:
        """Return the term in which this entry owns the shard; None if it does not."""
        return self._term

    async def run(self) -> None:
        """Watch the configuration, compete for the shard and own it whenever it is acquired."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(loop_lag.monitor, "entry", self._readiness.record_lag)
            tasks.start_soon(self._policies.run)
            tasks.start_soon(self._candidate.watch_holder)
            tasks.start_soon(self._own)
            tasks.start_soon(self._challenge)
            tasks.start_soon(self._hand_over_to_bidders)

    async def _challenge(self) -> None:
        """Bid for the shard if its owner has a much larger shortfall, until a stop is requested."""
        with self._challenge_scope:
            await self._challenger.run()

    async def _hand_over_to_bidders(self) -> None:
        """Hand the shard over to any bidder with a much smaller capacity shortfall."""
        while True:
            bidder = await self._challenger.wait_for_bid()
            term, owner = self._term, self._owner
            if term is None or owner is None or self._stopping.is_set():
                continue
            fields = {
                "shard": SHARD,
                "token": term.token,
                "weakness": self._candidate.contender.weakness,
            }
            log.info("giving way", extra={**fields, "to": bidder.name})
            handed_over = await self._hand_over_within(term, owner, BIDDER_HAND_OVER_TIMEOUT)
            if not handed_over and term.is_closed:
                await self._release_without_bounds(term, owner)

    async def _own(self) -> None:
        while not self._stopping.is_set():
            self._candidacy_scope = anyio.CancelScope()
            with self._candidacy_scope:
                self._term = await self._candidate.acquire()
            if self._term is None:
                return
            if self._stopping.is_set():
                await self._hand_over_new_term(self._term)
            else:
                await self._own_one_term(self._term)
            self._term = self._owner = None

    def _new_owner(self, term: Term) -> ShardOwner:
        return ShardOwner(
            SHARD, term, self._ports, self._keys, self._settings, self._policies, self.telemetry
        )

    async def _hand_over_new_term(self, term: Term) -> None:
        """Hand over a shard that this entry was taking when a stop was requested."""
        log.info("shard taken while stopping", extra={"shard": SHARD, "token": term.token})
        owner = self._new_owner(term)
        if not await self._hand_over_within(term, owner, STOPPING_HAND_OVER_TIMEOUT):
            await self._release_without_bounds(term, owner)

    async def _own_one_term(self, term: Term) -> None:
        self._owner = owner = self._new_owner(term)
        try:
            await owner.run()
        except* (TermLostError, DeposedError) as group:
            reasons = sorted({str(error) for error in group.exceptions})
            fields = {"shard": SHARD, "token": term.token, "reasons": reasons}
            log.warning("shard lost", extra=fields)
        except* Exception:
            # A bug in the owner's code must not end the process: it still accepts jobs, and another
            # entry takes the shard over once the lease has expired.
            self.telemetry.shard_drops.inc({})
            log.exception("shard dropped", extra={"shard": SHARD, "token": term.token})

    @property
    def stop_duration(self) -> float:
        """Return the seconds between the request to stop and the end of the process."""
        return STOP_NOTICE + self._settings.bounds.grace_s / 4

    async def hand_over(self) -> None:
        """Hand the shard over to another entry at once, and do not acquire it again.

        During a restart of all entries other entries are stopping as well; one of those would own
        the shard for only a second or two and then leave it to lease expiry. An owner that cannot
        hand over continues until its process ends.
        """
        self._stopping.set()
        self._candidacy_scope.cancel()
        self._challenge_scope.cancel()
        term, owner = self._term, self._owner
        if term is None or owner is None:
            return
        if not await self._hand_over_within(term, owner, self.stop_duration - HAND_OVER_MARGIN):
            await self._release_without_bounds(term, owner)

    async def _hand_over_within(self, term: Term, owner: ShardOwner, bound: float) -> bool:
        """Hand the shard over within `bound` seconds; return whether this entry no longer owns it.

        The final lease document is stored first. While that fails this entry keeps the shard, and
        its owner runs scheduling cycles between two tries, since no other entry does.
        """
        until = clock.read() + bound
        with anyio.move_on_after(bound):
            async with self._hand_over_lock:
                while self._term is term or term.is_closed:
                    if await self._try_hand_over(term, owner, until):
                        return True
                    await anyio.sleep(HAND_OVER_RETRY_INTERVAL)
                return True
        return False

    async def _try_hand_over(self, term: Term, owner: ShardOwner, until: float) -> bool:
        """Try once to store the final lease document and to revoke the lease."""
        fields = {"shard": SHARD, "token": term.token}
        try:
            if not await owner.prepare_hand_over(until):
                log.warning("shard not handed over", extra={**fields, "why": "bounds not stored"})
                return False
            with anyio.fail_after(RELEASE_TIMEOUT):
                await term.release()
        except (StoreError, TimeoutError) as error:
            log.warning("shard not handed over", extra={**fields, "why": str(error)})
            return False
        except TermLostError:
            return True  # another entry owns it already
        log.info("shard given up", extra={**fields, "last_word": True})
        return True

    async def _release_without_bounds(self, term: Term, owner: ShardOwner) -> None:
        """Revoke the lease of a shard that could not be handed over, since its owner stops soon.

        What is stored is correct without the final lease document as well: runs are recorded before
        they start, no lease is extended once the final document may be stored, and executors
        without a stored bound count as holding the longest possible leases.
        """
        fields = {"shard": SHARD, "token": term.token}
        owner.stop_placing()
        try:
            with anyio.fail_after(FINAL_RELEASE_TIMEOUT):
                await term.release()
        except (StoreError, TimeoutError) as error:
            log.warning("shard left to its lease", extra={**fields, "why": str(error)})
            return
        log.info("shard given up", extra={**fields, "last_word": term.is_closed})
        term.close()
