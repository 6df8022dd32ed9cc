"""Client of the platform's key-value store."""

from __future__ import annotations

import base64
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TypeVar
from urllib.parse import quote

from vanillawell.exceptions import (
    HistoryGoneError,
    LeaseEndedError,
    StoreOutcomeUnknownError,
    StoreRejectedError,
    StoreUnavailableError,
)
from vanillawell.protocol.call_errors import NoAnswerError, NotSentError
from vanillawell.protocol.store import (
    Change,
    Changes,
    KeyValue,
    Listing,
    Transaction,
    TransactionResult,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from vanillawell.platform.http import HttpAnswer, HttpClient

T = TypeVar("T")

STORE_CALL_TIMEOUT = 1.5
"""Seconds to wait for an answer; a slow store takes about 0.4 s, 90 times its usual 4 ms."""

WATCH_TIMEOUT_MARGIN = 0.7
"""Seconds to wait for the answer to a watch call beyond the wait that it requests.

Kept short: repeating the call costs little, and a call that was sent while the store was
unresponsive delays changes by this time after the store has recovered."""

NO_EFFECT_STATUSES = (429, 503)
"""Statuses by which the store reports that a call had no effect."""


class PlatformStore:
    """Client of the store at one address."""

    def __init__(self, http: HttpClient, address: str) -> None:
        self._http = http
        self._address = address
        self.calls = 0
        """Calls made so far."""

    async def _call(
        self,
        method: str,
        path: str,
        document: object = None,
        timeout: float = STORE_CALL_TIMEOUT,
        fresh: bool = False,
    ) -> HttpAnswer:
        self.calls += 1
        try:
            answer = await self._http.call(
                self._address, method, path, document, timeout, fresh=fresh
            )
        except NotSentError as error:
            raise StoreUnavailableError(str(error)) from error
        except NoAnswerError as error:
            raise StoreOutcomeUnknownError(str(error)) from error
        if answer.status in NO_EFFECT_STATUSES:
            raise StoreUnavailableError(f"{path}: status {answer.status}")
        if answer.status >= 500:
            raise StoreOutcomeUnknownError(f"{path}: status {answer.status}")
        if answer.status in (400, 413):
            raise StoreRejectedError(f"{path}: status {answer.status}: {answer.body[:200]!r}")
        if answer.status in (401, 403, 405):
            raise StoreUnavailableError(f"{path}: status {answer.status}: {answer.body[:200]!r}")
        return answer

    async def _read(self, path: str, timeout: float = STORE_CALL_TIMEOUT) -> HttpAnswer:
        """Make a read-only call, which has no effect even if its answer is lost."""
        try:
            return await self._call("GET", path, timeout=timeout)
        except StoreOutcomeUnknownError as error:
            raise StoreUnavailableError(str(error)) from error

    async def get(self, key: str) -> KeyValue | None:
        """Read one key."""
        answer = await self._read(f"/kv-key?key={quote(key, safe='')}")
        return None if answer.status == 404 else _decode(answer, _item)

    async def list(self, prefix: str) -> Listing:
        """Read all keys that start with `prefix`, page by page.

        The pages are not a snapshot. The listing carries the revision of the first page, so a
        watch from there reports the changes made between pages.
        """
        items: list[KeyValue] = []
        revision = 0
        after = ""
        while True:
            page_parameter = f"&after={quote(after, safe='')}" if after else ""
            answer = await self._read(f"/kv-range?prefix={quote(prefix, safe='')}{page_parameter}")
            page = _decode(answer, _page)
            revision = revision or page.revision
            items.extend(page.items)
            if not page.has_more:
                return Listing(revision, tuple(items))
            after = page.items[-1].key

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """Run one transaction; this store does not support `reads`."""
        document = {
            "expect": [
                {"key": item.key, "revision": item.mod_revision} for item in transaction.compares
            ],
            "puts": [
                {
                    "key": put.key,
                    "value": base64.b64encode(put.value).decode(),
                    **({"lease": put.lease} if put.lease else {}),
                }
                for put in transaction.puts
            ],
            "delete": list(transaction.deletes),
        }
        answer = await self._call("POST", "/kv-txn", document)
        if answer.status == 404:
            raise LeaseEndedError("/kv-txn: no such lease")
        return _decode(answer, _conflict if answer.status == 412 else _success)

    async def grant_lease(self, ttl: float) -> int:
        """Create a lease of `ttl` seconds and return its id."""
        answer = await self._call("POST", "/kv-lease", {"ttlMs": round(ttl * 1000)})
        return _decode(answer, lambda content: int(content["lease"]))

    async def keep_alive(self, lease: int, fresh: bool = False) -> bool:
        """Renew a lease, over a new connection if `fresh`; return False if it has expired."""
        answer = await self._call("POST", f"/kv-keep/{lease}", fresh=fresh)
        return answer.status != 404

    async def revoke(self, lease: int) -> None:
        """Revoke a lease, which deletes its keys."""
        await self._call("DELETE", f"/kv-lease-end/{lease}")

    async def changes(self, prefix: str, after: int, wait: float) -> Changes:
        """Return the changes after a revision, waiting up to `wait` seconds for the first."""
        path = f"/kv-watch?prefix={quote(prefix, safe='')}&after={after}"
        answer = await self._read(
            f"{path}&waitMs={round(wait * 1000)}", wait + WATCH_TIMEOUT_MARGIN
        )
        if answer.status == 410:
            raise HistoryGoneError(f"{prefix}: changes after {after} are no longer available")
        return _decode(answer, _changes)


@dataclass(frozen=True, slots=True)
class _Page:
    """One page of a listing."""

    revision: int
    items: tuple[KeyValue, ...]
    has_more: bool


def _decode(answer: HttpAnswer, decode: Callable[[Any], T]) -> T:
    """Decode an answer; one that lacks a part tells nothing, not even of what it contains."""
    try:
        return decode(answer.document())
    except NoAnswerError as error:
        raise StoreOutcomeUnknownError(str(error)) from error
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise StoreOutcomeUnknownError(f"malformed answer: {error!r}") from error


def _page(content: Any) -> _Page:
    page = _Page(
        content["storeRevision"],
        tuple(_item(item) for item in content["items"]),
        bool(content["hasMore"]),
    )
    if page.has_more and not page.items:
        raise ValueError("an empty page that is not the last")
    return page


def _conflict(content: Any) -> TransactionResult:
    values = (_item(item) for item in content["items"] if item.get("revision"))
    return TransactionResult(False, 0, {item.key: item for item in values})


def _success(content: Any) -> TransactionResult:
    return TransactionResult(True, content["revision"])


def _changes(content: Any) -> Changes:
    return Changes(content["storeRevision"], tuple(_change(event) for event in content["events"]))


def _item(item: dict[str, Any]) -> KeyValue:
    value = base64.b64decode(item.get("value", ""))
    return KeyValue(item["key"], value, item["revision"], item.get("lease"))


def _change(event: dict[str, Any]) -> Change:
    value = None if event.get("tombstone") else base64.b64decode(event.get("value", ""))
    return Change(event["key"], value, event["revision"], event.get("lease"))
