"""Run a non-idempotent request at most once per Idempotency-Key, wherever it is sent again.

Before such a request is queued, its key is claimed in the platform's store by a write that
requires the key to be absent. Whoever else sees the claim answers from it and never runs the
request. Many claims travel in one transaction, so that the store's write rate does not bound
them one by one.

What this guards against: the caller sends again through another entry after a timeout; the
entry that claimed is killed, paused or cut off; the answer of the claim's own write is lost.
Without a claim the request would run twice, and a stamp would be doubled.
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

CLAIMS_PER_WRITE = 60
"""Claims in one transaction; etcd allows 128 operations, and each claim takes two."""

FLEET_WRITES_PER_SECOND = 100.0
"""Transactions a second that all entries together make at most for claims, and as many again
for conclusions; the platform's service takes several hundred writes a second."""

LARGEST_KEPT_ANSWER = 16_384
"""Bytes of an answer that are kept for replay; a larger one is only known to have run."""

CLOCK_SKEW = 300.0
"""Seconds by which a caller's clock may be ahead in the time of its key."""

IN_PROGRESS_RETRY_AFTER = 1.0
"""Seconds after which a request that runs elsewhere is worth asking for again."""

STORE_DOWN_RETRY_AFTER = 2.0
"""Seconds after which a claim is worth trying again while the store is down."""


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """An answer that was kept for replay."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


@dataclass(slots=True, eq=False)
class HeldClaim:
    """A claim that this entry has made and must conclude."""

    key: str
    claim: Claim
    lease: int
    revision: int
    """Revision at which the store made it; its conclusion is written only over that."""


@dataclass(slots=True, eq=False)
class _PendingClaim:
    key: str
    claim: Claim
    done: anyio.Event = field(default_factory=anyio.Event)
    result: HeldClaim | KeyValue | StoreError | None = None

    def settle(self, result: HeldClaim | KeyValue | StoreError) -> None:
        self.result = result
        self.done.set()


@dataclass(slots=True, eq=False)
class _PendingConclusion:
    held: HeldClaim
    claim: Claim | None
    """None deletes the claim, since the request provably did not run."""


class ClaimService:
    """Own the claims that this entry makes."""

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
        """Count claims and conclusions that are not written yet."""
        return len(self._pending) + len(self._conclusions)

    def check_key(self, key: str, wall_now: float) -> Refusal | None:
        """Refuse a key that is no UUIDv7, or too old for its claim to be remembered.

        Forgetting a claim while its key is still accepted would run the request again.
        """
        minted = uuid7_time(key)
        if minted is None:
            detail = "Idempotency-Key must be a UUID of version 7 (RFC 9562)"
            return Refusal(Reason.MALFORMED, Verdict.NOT_RUN, detail)
        if minted > wall_now + CLOCK_SKEW:
            detail = "the time in Idempotency-Key lies ahead"
            return Refusal(Reason.MALFORMED, Verdict.NOT_RUN, detail)
        if minted < wall_now - self._timing.claim_retention:
            return Refusal(Reason.KEY_EXPIRED, Verdict.MAY_HAVE_RUN)
        return None

    async def claim(
        self, organisation: str, key: str, print_of_request: str
    ) -> HeldClaim | StoredAnswer | Refusal:
        """Claim a request, or return what is known of it already."""
        token = uuid.uuid4().hex
        claim = Claim(self._membership.me.holder, token, print_of_request)
        pending = _PendingClaim(self._keys.claim(organisation, key), claim)
        self._pending.append(pending)
        self._claims_wake.set()
        await pending.done.wait()
        match pending.result:
            case HeldClaim():
                return pending.result
            case KeyValue():
                return self._answer_from(Claim.from_bytes(pending.result.value), print_of_request)
            case _:
                wait = STORE_DOWN_RETRY_AFTER
                return Refusal(Reason.STORE_DOWN, Verdict.NOT_RUN, retry_after=wait)

    def _answer_from(self, claim: Claim, print_of_request: str) -> StoredAnswer | Refusal:
        if claim.fingerprint != print_of_request:
            return Refusal(Reason.KEY_REUSED, Verdict.NOT_RUN)
        if claim.state is ClaimState.RAN:
            if claim.body is None:
                detail = "it ran; its answer was too large to keep"
                return Refusal(Reason.OUTCOME_UNKNOWN, Verdict.RAN, detail)
            headers = [(name.encode(), value.encode()) for name, value in claim.headers]
            return StoredAnswer(claim.status, headers, b64decode(claim.body))
        owners = {member.holder for member in self._membership.members.values()}
        if claim.state is ClaimState.STARTED and claim.owner in owners:
            wait = IN_PROGRESS_RETRY_AFTER
            return Refusal(Reason.IN_PROGRESS, Verdict.MAY_HAVE_RUN, retry_after=wait)
        return Refusal(Reason.OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN)

    def conclude_not_run(self, held: HeldClaim) -> None:
        """Free a claim whose request provably did not run."""
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
        """Keep the answer of a request that ran."""
        fits = len(body) <= LARGEST_KEPT_ANSWER
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

        They are written apart: a request waits for its claim, and behind a conclusion in a slow
        store it would wait twice.
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
            claims = self._pending[:CLAIMS_PER_WRITE]
            del self._pending[: len(claims)]
            await self._write_claims(claims)
            await anyio.sleep(self._pause())

    async def _run_conclusions(self) -> None:
        while True:
            if not self._conclusions:
                self._conclusions_wake = anyio.Event()
                await self._conclusions_wake.wait()
            conclusions = self._conclusions[:CLAIMS_PER_WRITE]
            settled = await self._write_conclusions(conclusions)
            self._conclusions = [item for item in self._conclusions if item not in settled]
            await anyio.sleep(self._pause())

    def _pause(self) -> float:
        """Return the pause between two writes, longer in a larger fleet.

        The store's rate does not grow with the fleet; what grows is the number of claims that
        share a write.
        """
        entries = len(self._membership.members)
        return max(self._timing.claim_interval, entries / FLEET_WRITES_PER_SECOND)

    async def _write_claims(self, batch: list[_PendingClaim]) -> None:
        batch = self._drop_repeated(batch)
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
                item.settle(error)
            return
        self._count("claim", "ok" if result.succeeded else "conflict")
        for item in batch:
            if result.succeeded:
                item.settle(HeldClaim(item.key, item.claim, lease, result.revision))
            elif item.key in result.values:
                item.settle(self._adopt(result.values[item.key], item))
            else:
                self._pending.append(item)

    def _drop_repeated(self, batch: list[_PendingClaim]) -> list[_PendingClaim]:
        """Put off claims on a key that is already in the batch; a key is written once."""
        first: dict[str, _PendingClaim] = {}
        for item in batch:
            if item.key in first:
                self._pending.append(item)
            else:
                first[item.key] = item
        return list(first.values())

    async def _read_back(self, batch: list[_PendingClaim], error: StoreError) -> None:
        """Find out what became of claims whose answer was lost.

        A claim that the store shows under its token is ours. One that it does not show may
        still be applied later; refusing is right either way, since nothing was sent.
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
                item.settle(HeldClaim(item.key, item.claim, self._lease, found.mod_revision))
            else:
                item.settle(found)

    def _adopt(self, found: KeyValue, item: _PendingClaim) -> HeldClaim | KeyValue:
        """Take over a claim of this entry whose request was refused when its answer was lost."""
        adopted = self._orphans.adopt(found, item.claim.fingerprint)
        return HeldClaim(item.key, *adopted, found.mod_revision) if adopted else found

    def _abandon(self, item: _PendingClaim, error: StoreError) -> None:
        """Refuse a request whose claim may yet be applied, and remember to free it."""
        self._orphans.add(item.key, item.claim.token, self._lease, clock.read())
        item.settle(error)

    async def _write_conclusions(self, batch: list[_PendingConclusion]) -> list[_PendingConclusion]:
        """Write how requests ended; return those that need no further try.

        Each is written only over the very claim that it concludes. The store may have applied an
        earlier try whose answer was lost, and another entry may have claimed a freed key since.
        Written over that, a conclusion would remove the other's claim, and one more try of the
        caller would run the request twice.
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
        """Return a lease that outlives the acceptance of every key claimed under it now."""
        now = clock.read()
        retention = self._timing.claim_retention
        if now >= self._lease_until:
            self._lease = await self._store.grant_lease(2 * retention + CLOCK_SKEW)
            self._lease_until = now + retention / 2
        return self._lease

    def _count(self, task: str, result: str) -> None:
        self._telemetry.store_calls.inc({"task": task, "result": result})
