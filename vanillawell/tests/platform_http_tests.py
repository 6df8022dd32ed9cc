"""Test the client of the platform's HTTP interfaces."""

from __future__ import annotations

from typing import Any
from unittest.mock import patch

import anyio
import pytest

from vanillawell.platform.http import HttpClient
from vanillawell.protocol.call_errors import NotSentError


class ResetStream:
    """A connection that the other end has reset while it was opened."""

    def __init__(self, error: Exception) -> None:
        self._error = error
        self.is_closed = False

    def extra(self, _attribute: Any) -> Any:
        raise self._error

    async def aclose(self) -> None:
        self.is_closed = True


# Guards against an owner that drops its shard, since a connection is reset as it is opened.
@pytest.mark.parametrize(
    "error",
    [AttributeError("'NoneType' object has no attribute 'getpeername'"), OSError("reset")],
)
def test_connection_that_is_reset_as_it_is_opened_counts_as_not_sent(error: Exception) -> None:
    stream = ResetStream(error)

    async def connect(*_: Any) -> ResetStream:
        return stream

    async def call() -> None:
        with patch("anyio.connect_tcp", connect), pytest.raises(NotSentError):
            await HttpClient().call("127.0.0.1:1", "GET", "/hold")

    anyio.run(call)
    assert stream.is_closed


# Guards against an owner that drops its shard, since a value that another writer left is part of a
# call that can't be written as a request.
@pytest.mark.parametrize(
    "changes",
    [
        {"address": "127.0.0.1:\u00b2"},
        {"address": "127.0.0.1:65536"},
        {"address": "\ufffd:1"},
        {"address": "127.0.0.1:1\r\nX-Other: 1:1"},
        {"address": "nowhere"},
        {"path": "/kv-key?key=\ufffd"},
        {"path": "/hold HTTP/1.1\r\nX-Other: 1"},
        {"document": {"deadlineMs": 10**30}},
        {"headers": {"X-Expect-Instance": "i-\ufffd"}},
        {"headers": {"X-Expect-Instance": "i-0\r\nX-Other: 1"}},
    ],
)
@pytest.mark.parametrize("backend", [False, True])
def test_call_that_cannot_be_written_counts_as_not_sent(
    changes: dict[str, Any], backend: bool
) -> None:
    call = {"address": "127.0.0.1:1", "method": "POST", "path": "/hold", **changes}

    async def run() -> None:
        with pytest.raises(NotSentError):
            await HttpClient().call(**call)

    anyio.run(run, backend_options={"use_uvloop": backend})
