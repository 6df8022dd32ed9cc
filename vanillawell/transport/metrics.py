"""Serve counters and histograms on an address of their own."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aioprometheus import render

from vanillawell.transport.asgi import send_bytes

if TYPE_CHECKING:
    from aioprometheus import Registry

    from vanillawell.transport.asgi import Receive, Scope, Send


class MetricsApp:
    """The ASGI application that collectors of metrics reach."""

    def __init__(self, registry: Registry) -> None:
        self._registry = registry

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer with all metrics, in the format that the collector accepts."""
        accepts = [value.decode("latin-1") for name, value in scope["headers"] if name == b"accept"]
        content, headers = render(self._registry, accepts)
        lines = [(name.encode(), value.encode()) for name, value in headers.items()]
        await send_bytes(send, 200, content, lines)
