"""Open connections to backend servers from this entry's own address, by TLS where it is on."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import httpcore

from vanillawell.transport.sockets import TCP_OPTIONS

if TYPE_CHECKING:
    from vanillawell.transport.tls import ClientTrust


@dataclass(frozen=True, slots=True)
class Dialer:
    """How backend servers are reached."""

    local_host: str
    """Address of this entry that connections come from."""

    trust: ClientTrust | None = None
    """Authorities of the backend servers' certificates; None for plain HTTP."""

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
