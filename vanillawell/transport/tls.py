"""Build TLS contexts from files, and reload the files when certificates are renewed."""

from __future__ import annotations

import logging
import ssl
from typing import TYPE_CHECKING

import anyio

from vanillawell.exceptions import SettingsError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from pathlib import Path

    from vanillawell.config.settings import ClientTls, ServerTls
    from vanillawell.telemetry import Telemetry

POLL_INTERVAL = 2.0
"""Seconds between two checks of the files."""

FileVersions = tuple[tuple[int, int], ...]
"""Modification time and size of each file."""


def server_context(settings: ServerTls) -> ssl.SSLContext:
    """Build the context of a listening port; raises OSError or ssl.SSLError for bad files."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(settings.certificate, settings.key)
    if settings.client_authorities:
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_verify_locations(settings.client_authorities)
    return context


def client_context(settings: ClientTls) -> ssl.SSLContext:
    """Build the context of outgoing connections; raises OSError or ssl.SSLError for bad files."""
    context = ssl.create_default_context(cafile=str(settings.authorities))
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    if settings.certificate and settings.key:
        context.load_cert_chain(settings.certificate, settings.key)
    return context


class ServerIdentity:
    """TLS context of one listening port, whose certificate can be renewed in place."""

    def __init__(self, key: str, settings: ServerTls) -> None:
        """Read the files; raises SettingsError that names `key`, the setting."""
        self._settings = settings
        self._context = _build_context(key, lambda: server_context(settings))

    @property
    def context(self) -> ssl.SSLContext:
        """Return the context, the same for as long as the process runs."""
        return self._context

    @property
    def files(self) -> list[Path]:
        """Return the files from which the context is built."""
        found = (self._settings.certificate, self._settings.key, self._settings.client_authorities)
        return [path for path in found if path]

    def reload(self) -> None:
        """Reload the certificate for new connections; raises OSError or ssl.SSLError.

        The files are replaced one after the other. A new certificate loaded with the previous key
        would fail all handshakes, so the pair is first tested on a context of its own.
        """
        server_context(self._settings)
        self._context.load_cert_chain(self._settings.certificate, self._settings.key)
        if self._settings.client_authorities:
            self._context.load_verify_locations(self._settings.client_authorities)


class ClientTrust:
    """TLS context of outgoing connections of one kind; each reload builds a new one."""

    def __init__(self, key: str, settings: ClientTls) -> None:
        """Read the files; raises SettingsError that names `key`, the setting."""
        self._settings = settings
        self._context = _build_context(key, lambda: client_context(settings))

    @property
    def context(self) -> ssl.SSLContext:
        """Return the context for the next connection."""
        return self._context

    @property
    def files(self) -> list[Path]:
        """Return the files from which the context is built."""
        found = (self._settings.authorities, self._settings.certificate, self._settings.key)
        return [path for path in found if path]

    def reload(self) -> None:
        """Build a new context from the files; raises OSError or ssl.SSLError."""
        self._context = client_context(self._settings)


def _build_context(key: str, build: Callable[[], ssl.SSLContext]) -> ssl.SSLContext:
    try:
        return build()
    except (OSError, ssl.SSLError) as error:
        raise SettingsError(f"{key}: cannot use the certificate files: {error}") from error


class CertificateReloader:
    """Reload certificates when their files change, without a restart."""

    def __init__(
        self,
        items: Iterable[ServerIdentity | ClientTrust],
        telemetry: Telemetry,
        reloaded: Callable[[], None],
    ) -> None:
        self._items = list(items)
        self._telemetry = telemetry
        self._reloaded = reloaded
        self._loaded_versions = [_file_versions(item.files) for item in self._items]

    async def run(self) -> None:
        """Poll the files until cancelled."""
        while self._items:
            await anyio.sleep(POLL_INTERVAL)
            for index, item in enumerate(self._items):
                self._check(index, item)

    def _check(self, index: int, item: ServerIdentity | ClientTrust) -> None:
        versions = _file_versions(item.files)
        if versions == self._loaded_versions[index]:
            return
        name = f"certificate {item.files[0]}"
        try:
            item.reload()
        except (OSError, ssl.SSLError) as error:
            # The files may be half replaced: keep the previous certificate, retry at the next poll.
            self._telemetry.log_state(name, f"not usable: {error}", logging.WARNING)
            return
        self._loaded_versions[index] = versions
        self._telemetry.certificate_reloads.inc({})
        self._telemetry.log_state(name, f"reloaded, changed at {max(time for time, _ in versions)}")
        self._reloaded()


def _file_versions(files: Iterable[Path]) -> FileVersions:
    found = (path.stat() if path.exists() else None for path in files)
    return tuple((item.st_mtime_ns, item.st_size) if item else (0, 0) for item in found)
