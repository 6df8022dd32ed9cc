"""Call the admin ports of entries, with the operators' token and over TLS if enabled."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from vanillawell.config.settings import Address
from vanillawell.transport.http_client import JsonClient

if TYPE_CHECKING:
    from vanillawell.protocol.documents import Presence
    from vanillawell.transport.tls import ClientTrust


@dataclass(frozen=True, slots=True)
class AdminAccess:
    """Credentials for the admin ports of all entries."""

    token: str = ""
    """Bearer token that authenticates an operator or another entry; empty if none is required."""

    trust: ClientTrust | None = None
    """Trusted authorities of the entries' certificates; None for plain HTTP."""

    def client(self, member: Presence) -> JsonClient:
        """Return a client for one entry's admin port."""
        return JsonClient(
            Address(host=member.admin_host, port=member.admin_port),
            ssl_context=self.trust.context if self.trust else None,
            headers={"authorization": f"Bearer {self.token}"} if self.token else {},
        )
