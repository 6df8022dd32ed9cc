"""Run a non-idempotent request at most once per Idempotency-Key, whichever entry receives it.

Before such a request is queued, its key is claimed in the platform's store by a write that
requires the key to be absent. Any entry that finds an existing claim answers from it and does not
run the request. Claims are written in batches, one transaction each, so that the store's write
rate does not limit the rate of requests.

Without claims a request could run twice, and for example issue two stamps, in these cases: the
caller retries through another entry after a timeout; the entry that claimed the key is killed,
paused or cut off; or the store's answer to the claim itself is lost.
"""

from __future__ import annotations

import uuid
from base64 import b64decode, b64encode
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

import anyio

from vanillawell import clock
from vanillawell.coordination.orphan_claims import OrphanClaims
from vanillawell.exceptions import StoreError, StoreOutcomeUnknownError
from vanillawell.protocol.claim_documents import Claim, ClaimState, uuid7_time
from vanillawell.protocol.refusals import Reason, Refusal
from vanillawell.protocol.store import Compare, KeyValue, Put, Transaction
from vanillawell.protocol.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Sequence

    from vanillawell.config.settings import TimingSettings
    from vanillawell.coordination.membership import Membership
    from vanillawell.protocol.documents import StoreKeys
    from vanillawell.protocol.store import Store
    from vanillawell.telemetry import Telemetry

MAX_CLAIMS_PER_TRANSACTION = 60
"""Maximum claims in one transaction; etcd allows 128 operations, and each claim takes two."""

MAX_FLEET_WRITES_PER_SECOND = 100.0
"""Maximum transactions per second for claims, summed over all entries, and the same number for
conclusions; the platform's store handles several hundred writes per second."""

MAX_STORED_ANSWER_BYTES = 16_384
"""Maximum body size of an answer that is stored for replay; for larger ones only the fact that the
request ran is stored."""

MAX_CLOCK_SKEW = 300.0
"""Maximum seconds by which the time in a key may be ahead of this entry's clock."""

IN_PROGRESS_RETRY_AFTER = 1.0
"""Seconds after which a caller should retry a request that another entry is still running."""

STORE_DOWN_RETRY_AFTER = 2.0
"""Seconds after which a caller should retry while the store is unreachable."""


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """An answer that was stored for replay."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


@dataclass(slots=True, eq=False)
class HeldClaim:
    """A claim that this entry has written and must conclude."""

    key: str
    claim: Claim
    lease: int
    revision: int
    """Store revision of the claim; its conclusion is written only if this is unchanged."""


@dataclass(slots=True, eq=False)
class _PendingClaim:
    key: str
    claim: Claim
    done: anyio.Event = field(default_factory=anyio.Event)
    result: HeldClaim | KeyValue | StoreError | None = None

    def resolve(self, result: HeldClaim | KeyValue | StoreError) -> None:
        self.result = result
        self.done.set()


@dataclass(slots=True, eq=False)
class _PendingConclusion:
    held: HeldClaim
    claim: Claim | None
    """Concluded claim to store; None deletes the claim, since the request provably did not run."""


class ClaimService:
    """Write and conclude the claims of this entry."""

    def __init__(
        self,
        store: Store,
        keys: StoreKeys,
        membership: Membership,
        timing: TimingSettings,
        telemetry: Telemetry,
    ) -> None:
        self._store = store
        self._keys = keys
        self._membership = membership
        self._timing = timing
        self._telemetry = telemetry
        self._pending: list[_PendingClaim] = []
        self._conclusions: list[_PendingConclusion] = []
        self._orphans = OrphanClaims(store)
        self._claims_wake = anyio.Event()
        self._conclusions_wake = anyio.Event()
        self._lease = 0
        self._lease_until = 0.0

    @property
    def unfinished(self) -> int:
        """Return the number of claims and conclusions that are not written yet."""
        return len(self._pending) + len(self._conclusions)

    def check_key(self, key: str, wall_now: float) -> Refusal | None:
        """Refuse a key that is not a UUIDv7, or that is older than the retention of claims.

        If such a key were accepted after its claim expired, the request would run again.
        """
        minted = uuid7_time(key)
        if minted is None:
            detail = "Idempotency-Key must be a UUID of version 7 (RFC 9562)"
            return Refusal(Reason.MALFORMED, Verdict.NOT_RUN, detail)
        if minted > wall_now + MAX_CLOCK_SKEW:
            detail = "the time in Idempotency-Key lies ahead"
            return Refusal(Reason.MALFORMED, Verdict.NOT_RUN, detail)
        if minted < wall_now - self._timing.claim_retention:
            return Refusal(Reason.KEY_EXPIRED, Verdict.MAY_HAVE_RUN)
        return None

    async def claim(
        self, organisation: str, key: str, request_fingerprint: str
    ) -> HeldClaim | StoredAnswer | Refusal:
        """Claim a key for a request, or return the result of an existing claim."""
        token = uuid.uuid4().hex
        claim = Claim(self._membership.me.holder, token, request_fingerprint)
        pending = _PendingClaim(self._keys.claim(organisation, key), claim)
        self._pending.append(pending)
        self._claims_wake.set()
        await pending.done.wait()
        match pending.result:
            case HeldClaim():
                return pending.result
            case KeyValue():
                return self._result_from_existing(
                    Claim.from_bytes(pending.result.value), request_fingerprint
                )
            case _:
                wait = STORE_DOWN_RETRY_AFTER
                return Refusal(Reason.STORE_DOWN, Verdict.NOT_RUN, retry_after=wait)

    def _result_from_existing(
        self, claim: Claim, request_fingerprint: str
    ) -> StoredAnswer | Refusal:
        if claim.fingerprint != request_fingerprint:
            return Refusal(Reason.KEY_REUSED, Verdict.NOT_RUN)
        if claim.state is ClaimState.RAN:
            if claim.body is None:
                detail = "it ran; its answer was too large to keep"
                return Refusal(Reason.OUTCOME_UNKNOWN, Verdict.RAN, detail)
            headers = [(name.encode(), value.encode()) for name, value in claim.headers]
            return StoredAnswer(claim.status, headers, b64decode(claim.body))
        live_holders = {member.holder for member in self._membership.members.values()}
        if claim.state is ClaimState.STARTED and claim.owner in live_holders:
            wait = IN_PROGRESS_RETRY_AFTER
            return Refusal(Reason.IN_PROGRESS, Verdict.MAY_HAVE_RUN, retry_after=wait)
        return Refusal(Reason.OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN)

    def conclude_not_run(self, held: HeldClaim) -> None:
        """Delete a claim whose request provably did not run."""
        self._conclusions.append(_PendingConclusion(held, None))
        self._conclusions_wake.set()

    def conclude_unknown(self, held: HeldClaim) -> None:
        """Record that the request may have run."""
        claim = replace(held.claim, state=ClaimState.MAY_HAVE_RUN)
        self._conclusions.append(_PendingConclusion(held, claim))
        self._conclusions_wake.set()

    def conclude_ran(
        self, held: HeldClaim, status: int, headers: Sequence[tuple[bytes, bytes]], body: bytes
    ) -> None:
        """Store the answer of a request that ran."""
        fits = len(body) <= MAX_STORED_ANSWER_BYTES
        claim = replace(
            held.claim,
            state=ClaimState.RAN,
            status=status,
            headers=tuple(
                (name.decode("latin-1"), value.decode("latin-1")) for name, value in headers
            ),
            body=b64encode(body).decode() if fits else None,
        )
        self._conclusions.append(_PendingConclusion(held, claim))
        self._conclusions_wake.set()

    async def run(self) -> None:
        """Write claims and conclusions in batches until cancelled.

        They are written by separate tasks: a request waits for its claim to be written, and with a
        slow store it would otherwise wait for the conclusions of other requests as well.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._orphans.run)
            tasks.start_soon(self._run_claims)
            tasks.start_soon(self._run_conclusions)

    async def _run_claims(self) -> None:
        while True:
            if not self._pending:
                self._claims_wake = anyio.Event()
                await self._claims_wake.wait()
            claims = self._pending[:MAX_CLAIMS_PER_TRANSACTION]
            del self._pending[: len(claims)]
            await self._write_claims(claims)
            await anyio.sleep(self._write_interval())

    async def _run_conclusions(self) -> None:
        while True:
            if not self._conclusions:
                self._conclusions_wake = anyio.Event()
                await self._conclusions_wake.wait()
            conclusions = self._conclusions[:MAX_CLAIMS_PER_TRANSACTION]
            resolved = await self._write_conclusions(conclusions)
            self._conclusions = [item for item in self._conclusions if item not in resolved]
            await anyio.sleep(self._write_interval())

    def _write_interval(self) -> float:
        """Return the interval between two writes, which grows with the number of entries.

        The total write rate stays bounded in a larger fleet; each write carries more claims
        instead.
        """
        entries = len(self._membership.members)
        return max(self._timing.claim_interval, entries / MAX_FLEET_WRITES_PER_SECOND)

    async def _write_claims(self, batch: list[_PendingClaim]) -> None:
        batch = self._postpone_duplicates(batch)
        transaction_keys = [item.key for item in batch]
        try:
            lease = await self._current_lease()
            result = await self._store.transact(
                Transaction(
                    compares=[Compare(key, 0) for key in transaction_keys],
                    puts=[Put(item.key, item.claim.to_bytes(), lease) for item in batch],
                    reads=transaction_keys,
                )
            )
        except StoreOutcomeUnknownError as error:
            self._count("claim", "unknown")
            await self._read_back(batch, error)
            return
        except StoreError as error:
            self._count("claim", "unavailable")
            for item in batch:
                item.resolve(error)
            return
        self._count("claim", "ok" if result.succeeded else "conflict")
        for item in batch:
            if result.succeeded:
                item.resolve(HeldClaim(item.key, item.claim, lease, result.revision))
            elif item.key in result.values:
                item.resolve(self._adopt(result.values[item.key], item))
            else:
                self._pending.append(item)

    def _postpone_duplicates(self, batch: list[_PendingClaim]) -> list[_PendingClaim]:
        """Postpone claims on a key that is already in the batch; a batch writes each key once."""
        first: dict[str, _PendingClaim] = {}
        for item in batch:
            if item.key in first:
                self._pending.append(item)
            else:
                first[item.key] = item
        return list(first.values())

    async def _read_back(self, batch: list[_PendingClaim], error: StoreError) -> None:
        """Read claims back whose write was not answered.

        A claim that is stored with its token was written by this entry. One that is not stored
        may still be applied later. Its request is refused, which is correct in both cases since
        nothing was sent to a backend server.
        """
        try:
            result = await self._store.transact(
                Transaction(reads=[item.key for item in batch], read_back=True)
            )
        except StoreError:
            for item in batch:
                self._abandon(item, error)
            return
        for item in batch:
            found = result.values.get(item.key)
            if found is None:
                self._abandon(item, error)
            elif Claim.from_bytes(found.value).token == item.claim.token:
                item.resolve(HeldClaim(item.key, item.claim, self._lease, found.mod_revision))
            else:
                item.resolve(found)

    def _adopt(self, found: KeyValue, item: _PendingClaim) -> HeldClaim | KeyValue:
        """Adopt an orphaned claim of this entry for a retry of the request that was refused."""
        adopted = self._orphans.adopt(found, item.claim.fingerprint)
        return HeldClaim(item.key, *adopted, found.mod_revision) if adopted else found

    def _abandon(self, item: _PendingClaim, error: StoreError) -> None:
        """Refuse a request whose claim may still be applied, and track the claim for deletion."""
        self._orphans.add(item.key, item.claim.token, self._lease, clock.read())
        item.resolve(error)

    async def _write_conclusions(self, batch: list[_PendingConclusion]) -> list[_PendingConclusion]:
        """Write the results of requests; return the conclusions that need no retry.

        Each conclusion requires that the claim it concludes is unchanged. An earlier attempt may
        have been applied although its answer was lost, and another entry may have claimed the
        deleted key since. An unconditional write would remove that entry's claim, and the
        caller's next retry would run the request twice.
        """
        keys = [item.held.key for item in batch]
        transaction = Transaction(
            compares=[Compare(item.held.key, item.held.revision) for item in batch],
            puts=[
                Put(item.held.key, item.claim.to_bytes(), item.held.lease)
                for item in batch
                if item.claim is not None
            ],
            deletes=[item.held.key for item in batch if item.claim is None],
            reads=keys,
        )
        try:
            result = await self._store.transact(transaction)
        except StoreError:
            self._count("conclusion", "unavailable")
            return []
        self._count("conclusion", "ok" if result.succeeded else "conflict")
        if result.succeeded:
            return batch
        return [
            item
            for item in batch
            if item.held.key not in result.values
            or result.values[item.held.key].mod_revision != item.held.revision
        ]

    async def _current_lease(self) -> int:
        """Return a lease that lasts longer than any key claimed under it now is accepted."""
        now = clock.read()
        retention = self._timing.claim_retention
        if now >= self._lease_until:
            self._lease = await self._store.grant_lease(2 * retention + MAX_CLOCK_SKEW)
            self._lease_until = now + retention / 2
        return self._lease

    def _count(self, task: str, result: str) -> None:
        self._telemetry.store_calls.inc({"task": task, "result": result})
