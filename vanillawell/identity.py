"""Load the certificates and secrets of an entry and those by which it verifies others."""

from __future__ import annotations

from typing import TYPE_CHECKING

from vanillawell.exceptions import SettingsError
from vanillawell.transport.admin_client import AdminAccess
from vanillawell.transport.tls import ClientTrust, ServerIdentity

if TYPE_CHECKING:
    import ssl
    from pathlib import Path

    from vanillawell.config.settings import ClientTls, DaemonSettings, ServerTls


def read_secret(path: Path | None, key: str) -> str:
    """Return the secret in a file, or an empty string without a path.

    Raises:
        SettingsError: The file is unreadable or empty; the message names the setting `key`.
    """
    if path is None:
        return ""
    try:
        secret = path.read_text().strip()
    except OSError as error:
        raise SettingsError(f"{key}: {error}") from error
    if not secret:
        raise SettingsError(f"{key}: {path} is empty")
    return secret


class Identity:
    """Certificates and secrets from an entry's settings; raises SettingsError if unusable."""

    def __init__(self, settings: DaemonSettings) -> None:
        self._caller = _server_identity("caller_tls", settings.caller_tls)
        self._admin = _server_identity("admin_tls", settings.admin_tls)
        self.backend = _client_trust("backend_tls", settings.backend_tls)
        """Certificate authorities for backend servers; None for plain HTTP."""
        trust = _client_trust("admin_trust", settings.admin_trust)
        token = read_secret(settings.admin_token_file, "admin_token_file")
        self.access = AdminAccess(token, trust if settings.admin_tls else None)
        """Credentials for the admin ports of other entries."""

    @property
    def caller_context(self) -> ssl.SSLContext | None:
        """Return the TLS context of the callers' port."""
        return self._caller.context if self._caller else None

    @property
    def admin_context(self) -> ssl.SSLContext | None:
        """Return the TLS context of the admin port."""
        return self._admin.context if self._admin else None

    @property
    def reloadable(self) -> list[ServerIdentity | ClientTrust]:
        """Return all identities and trust stores to reload when their files change."""
        items = (self._caller, self._admin, self.backend, self.access.trust)
        return [item for item in items if item]


def _server_identity(key: str, settings: ServerTls | None) -> ServerIdentity | None:
    return ServerIdentity(key, settings) if settings else None


def _client_trust(key: str, settings: ClientTls | None) -> ClientTrust | None:
    return ClientTrust(key, settings) if settings else None
