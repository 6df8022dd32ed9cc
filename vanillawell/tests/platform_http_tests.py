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
