"""Call the platform's key-value store."""

from __future__ import annotations

import base64
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

from vanillawell.exceptions import (
    HistoryGoneError,
    LeaseEndedError,
    StoreOutcomeUnknownError,
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
    from vanillawell.platform.http import HttpAnswer, HttpClient

ANSWER_BOUND = 1.5
"""Seconds to wait for an answer; a slow store takes some 0.4 s, 90 times its usual 4 ms."""

WATCH_BOUND = 0.7
"""Seconds to wait for the answer to a waiting call beyond its wait.

Asking again costs little, and a call that was sent while the store was silent keeps news away for
as long after its return."""

NOT_DONE = (429, 503)
"""Statuses by which the store says that it did nothing."""


class PlatformStore:
    """Speak to the store at one address."""

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
        bound: float = ANSWER_BOUND,
        fresh: bool = False,
    ) -> HttpAnswer:
        self.calls += 1
        try:
            answer = await self._http.call(
                self._address, method, path, document, bound, fresh=fresh
            )
        except NotSentError as error:
            raise StoreUnavailableError(str(error)) from error
        except NoAnswerError as error:
            raise StoreOutcomeUnknownError(str(error)) from error
        if answer.status in NOT_DONE:
            raise StoreUnavailableError(f"{path}: status {answer.status}")
        if answer.status >= 500:
            raise StoreOutcomeUnknownError(f"{path}: status {answer.status}")
        if answer.status in (400, 401, 403, 405, 413):
            raise StoreUnavailableError(f"{path}: status {answer.status}: {answer.body[:200]!r}")
        return answer

    async def _read(self, path: str, bound: float = ANSWER_BOUND) -> HttpAnswer:
        """Make a call that changes nothing, so that a lost answer leaves no doubt."""
        try:
            return await self._call("GET", path, bound=bound)
        except StoreOutcomeUnknownError as error:
            raise StoreUnavailableError(str(error)) from error

    async def get(self, key: str) -> KeyValue | None:
        """Read one key."""
        answer = await self._read(f"/kv-key?key={quote(key, safe='')}")
        return None if answer.status == 404 else _item(_document(answer))

    async def list(self, prefix: str) -> Listing:
        """Read all keys that start with `prefix`, page by page.

        Pages are no snapshot: what changes between them is found by following on from the
        revision of the first page.
        """
        items: list[KeyValue] = []
        revision = 0
        after = ""
        while True:
            more = f"&after={quote(after, safe='')}" if after else ""
            page = _document(await self._read(f"/kv-range?prefix={quote(prefix, safe='')}{more}"))
            revision = revision or page["storeRevision"]
            items.extend(_item(item) for item in page["items"])
            if not page["hasMore"]:
                return Listing(revision, tuple(items))
            after = items[-1].key

    async def transact(self, transaction: Transaction) -> TransactionResult:
        """Run one transaction; `reads` are not offered by this store."""
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
        content = _document(answer)
        if answer.status == 412:
            values = (_item(item) for item in content["items"] if item.get("revision"))
            return TransactionResult(False, 0, {item.key: item for item in values})
        return TransactionResult(True, content["revision"])

    async def grant_lease(self, ttl: float) -> int:
        """Create a lease of `ttl` seconds and return its id."""
        answer = await self._call("POST", "/kv-lease", {"ttlMs": round(ttl * 1000)})
        return int(_document(answer)["lease"])

    async def keep_alive(self, lease: int, fresh: bool = False) -> bool:
        """Renew a lease, over a new connection if `fresh`; False means that it has ended."""
        answer = await self._call("POST", f"/kv-keep/{lease}", fresh=fresh)
        return answer.status != 404

    async def revoke(self, lease: int) -> None:
        """End a lease and delete its keys."""
        await self._call("DELETE", f"/kv-lease-end/{lease}")

    async def changes(self, prefix: str, after: int, wait: float) -> Changes:
        """Return the changes after a revision, waiting up to `wait` seconds for the first."""
        path = f"/kv-watch?prefix={quote(prefix, safe='')}&after={after}"
        answer = await self._read(f"{path}&waitMs={round(wait * 1000)}", wait + WATCH_BOUND)
        if answer.status == 410:
            raise HistoryGoneError(f"{prefix}: changes after {after} are gone")
        content = _document(answer)
        return Changes(
            content["storeRevision"], tuple(_change(event) for event in content["events"])
        )


def _document(answer: HttpAnswer) -> Any:
    try:
        return answer.document()
    except NoAnswerError as error:
        raise StoreOutcomeUnknownError(str(error)) from error


def _item(item: dict[str, Any]) -> KeyValue:
    return KeyValue(item["key"], base64.b64decode(item.get("value", "")), item["revision"])


def _change(event: dict[str, Any]) -> Change:
    value = None if event.get("tombstone") else base64.b64decode(event.get("value", ""))
    return Change(event["key"], value, event["revision"])
