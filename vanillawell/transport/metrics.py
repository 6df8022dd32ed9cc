"""Serve metrics over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aioprometheus import render

from vanillawell.transport.asgi import send_bytes

if TYPE_CHECKING:
    from collections.abc import Callable

    from aioprometheus import Registry

    from vanillawell.transport.asgi import Receive, Scope, Send


async def send_metrics(registry: Registry, scope: Scope, send: Send) -> None:
    """Answer with all metrics, in the format that the collector accepts."""
    accepts = [value.decode("latin-1") for name, value in scope["headers"] if name == b"accept"]
    content, headers = render(registry, accepts)
    pairs = [(name.lower().encode(), value.encode()) for name, value in headers.items()]
    await send_bytes(send, 200, content, pairs)


class MetricsApp:
    """ASGI application that answers collectors of metrics."""

    def __init__(self, registry: Registry, refresh: Callable[[], None]) -> None:
        self._registry = registry
        self._refresh = refresh
        """Called before each answer, to update metrics from values that are held elsewhere."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Answer with all metrics."""
        self._refresh()
        await send_metrics(self._registry, scope, send)
