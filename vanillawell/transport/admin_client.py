"""Reach the admin port of an entry, with the operators' token and over TLS where it is on."""

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
    """How admin ports are reached."""

    token: str = ""
    """Secret that proves an operator or another entry; empty if none is asked for."""

    trust: ClientTrust | None = None
    """Authorities of the entries' certificates; None for plain HTTP."""

    def client(self, member: Presence) -> JsonClient:
        """Return a client for one entry's admin port."""
        return JsonClient(
            Address(host=member.admin_host, port=member.admin_port),
            ssl_context=self.trust.context if self.trust else None,
            headers={"authorization": f"Bearer {self.token}"} if self.token else {},
        )
