"""Read the certificates and secrets by which an entry proves itself and trusts others."""

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
    """Return a secret from its file, empty without one; raises SettingsError naming `key`."""
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
    """Everything that an entry's TLS and admin settings name; raises SettingsError if unusable."""

    def __init__(self, settings: DaemonSettings) -> None:
        self._caller = _server("caller_tls", settings.caller_tls)
        self._admin = _server("admin_tls", settings.admin_tls)
        self.backend = _client("backend_tls", settings.backend_tls)
        """Trust in backend servers; None for plain HTTP."""
        trust = _client("admin_trust", settings.admin_trust)
        token = read_secret(settings.admin_token_file, "admin_token_file")
        self.access = AdminAccess(token, trust if settings.admin_tls else None)
        """How other entries' admin ports are reached."""

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
        """Return all that must follow renewed files."""
        found = (self._caller, self._admin, self.backend, self.access.trust)
        return [item for item in found if item]


def _server(key: str, settings: ServerTls | None) -> ServerIdentity | None:
    return ServerIdentity(key, settings) if settings else None


def _client(key: str, settings: ClientTls | None) -> ClientTrust | None:
    return ClientTrust(key, settings) if settings else None
