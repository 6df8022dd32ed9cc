"""Test what a client of the platform's store concludes from pages and answers that lack a part."""

from __future__ import annotations

import base64
from typing import Any

import anyio
import orjson
import pytest

from vanillawell.exceptions import HistoryGoneError, StoreError
from vanillawell.platform.http import HttpAnswer
from vanillawell.platform.store import PlatformStore
from vanillawell.protocol.store import Put, Transaction


def item(key: str, revision: int, value: bytes = b"") -> dict[str, Any]:
    """Return a key as the store sends it."""
    return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision}


def page(*items: dict[str, Any], revision: int, more: bool = False) -> dict[str, Any]:
    """Return one page of a listing."""
    return {"items": list(items), "hasMore": more, "storeRevision": revision}


class Answers:
    """Client of a store that gives the listed answers, one after another; a number is a status."""

    def __init__(self, *answers: Any) -> None:
        self._answers = list(answers)
        self.paths: list[str] = []

    async def call(self, _: str, __: str, path: str, *___: Any, **____: Any) -> HttpAnswer:
        self.paths.append(path)
        answer = self._answers.pop(0)
        if isinstance(answer, int):
            return HttpAnswer(answer, b"{}")
        return HttpAnswer(200, orjson.dumps(answer))


def store(*answers: Any) -> PlatformStore:
    """Return the client of a store that gives these answers."""
    return PlatformStore(Answers(*answers), "127.0.0.1:1")  # type: ignore[arg-type]


# Guards against a listing that is taken for whole although it is not: what it leaves out would be
# forgotten, such as the entries of executors, the jobs of a shard, and who holds it.
@pytest.mark.parametrize(
    "last",
    [
        503,
        404,
        {"items": [], "storeRevision": 9},
        {"hasMore": False, "storeRevision": 9},
        {"items": [], "hasMore": False},
        {"items": [{"key": "b"}], "hasMore": False, "storeRevision": 9},
        page(revision=9, more=True),
        [],
    ],
)
@pytest.mark.parametrize("first", [(), (page(item("a", 5), revision=8, more=True),)])
def test_listing_fails_with_a_page_that_lacks_a_part(first: tuple[Any, ...], last: Any) -> None:
    with pytest.raises(StoreError):
        anyio.run(store(*first, last).list, "p/")


def test_listing_has_all_pages_and_the_revision_of_the_first() -> None:
    """Pages are no snapshot: changes made between them are told again by a watch from there."""
    pages = [page(item("a", 5), revision=8, more=True), page(item("b", 11), revision=12)]
    client = Answers(*pages)
    listing = anyio.run(PlatformStore(client, "").list, "p/")  # type: ignore[arg-type]
    assert [found.key for found in listing.items] == ["a", "b"]
    assert listing.revision == 8
    assert client.paths[1].endswith("&after=a")


# Guards against a watch that goes on from a revision whose changes it has not received.
@pytest.mark.parametrize(
    "answer", [{"events": []}, {"storeRevision": 9}, {"events": [{}], "storeRevision": 9}]
)
def test_watch_fails_with_an_answer_that_lacks_a_part(answer: Any) -> None:
    with pytest.raises(StoreError):
        anyio.run(store(answer).changes, "p/", 5, 1.0)


def test_watch_tells_that_the_history_is_gone() -> None:
    with pytest.raises(HistoryGoneError):
        anyio.run(store(410).changes, "p/", 5, 1.0)


# Guards against a write that counts as done, or as not done, by an answer that tells neither.
@pytest.mark.parametrize("answer", [{}, []])
def test_write_without_a_revision_in_its_answer_has_an_unknown_outcome(answer: Any) -> None:
    with pytest.raises(StoreError):
        anyio.run(store(answer).transact, Transaction(puts=[Put("a", b"")]))


# Guards against a key that counts as missing because its value can't be read.
def test_key_that_cannot_be_read_does_not_count_as_missing() -> None:
    with pytest.raises(StoreError):
        anyio.run(store({"key": "a"}).get, "a")
