"""Open connections to backend servers from this entry's own address, over TLS if enabled."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import httpcore

from vanillawell.transport.sockets import TCP_OPTIONS

if TYPE_CHECKING:
    from vanillawell.transport.tls import ClientTrust


@dataclass(frozen=True, slots=True)
class Dialer:
    """Settings of the connections to backend servers."""

    local_host: str
    """Local address of the connections."""

    trust: ClientTrust | None = None
    """Trusted authorities of the backend servers' certificates; None for plain HTTP."""

    @property
    def scheme(self) -> bytes:
        """Return the URL scheme."""
        return b"https" if self.trust else b"http"

    def pool(self, connections: int, keepalive: float | None) -> httpcore.AsyncConnectionPool:
        """Return a new, empty pool of connections."""
        return httpcore.AsyncConnectionPool(
            ssl_context=self.trust.context if self.trust else None,
            max_connections=connections,
            keepalive_expiry=keepalive,
            socket_options=TCP_OPTIONS,
            local_address=self.local_host,
        )
