"""Provide the connections and output options that all operator commands share."""

from __future__ import annotations

import getpass
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from enum import StrEnum
from functools import cached_property
from pathlib import Path

from vanillawell.commands.retrying_store import RetryingStore
from vanillawell.config.settings import Address, ClientTls, StoreSettings
from vanillawell.coordination.configuration_editor import ConfigurationEditor
from vanillawell.exceptions import SettingsError
from vanillawell.identity import read_secret
from vanillawell.protocol.documents import StoreKeys
from vanillawell.transport.admin_client import AdminAccess
from vanillawell.transport.tls import ClientTrust


class OutputFormat(StrEnum):
    """Format in which results are printed."""

    TABLE = "table"
    JSON = "json"


@dataclass(frozen=True)
class CommandContext:
    """Options that all commands share."""

    store: str
    prefix: str
    output: OutputFormat
    user: str = ""
    """User name for the store; empty if the store requires none."""

    password_file: Path | None = None
    authorities: Path | None = None
    """PEM file with the authorities for the certificates of the store and the admin ports; None for
    plain HTTP."""

    store_by_tls: bool = False
    admin_token_file: Path | None = None

    def store_settings(self) -> StoreSettings:
        """Return the settings of the store.

        Raises:
            SettingsError: The address is malformed.
        """
        host, _, port = self.store.rpartition(":")
        try:
            address = Address(host=host, port=int(port))
        except ValueError as error:
            raise SettingsError(f"--store: {self.store!r} is not IP:PORT") from error
        return StoreSettings(
            address=address,
            prefix=self.prefix,
            user=self.user,
            password_file=self.password_file,
            tls=self._tls if self.store_by_tls else None,
        )

    @property
    def _tls(self) -> ClientTls | None:
        return ClientTls(authorities=self.authorities) if self.authorities else None

    @cached_property
    def access(self) -> AdminAccess:
        """Return the token and trust settings for the entries' admin ports."""
        token = read_secret(self.admin_token_file, "--admin-token-file")
        trust = ClientTrust("--authorities", self._tls) if self._tls else None
        return AdminAccess(token, trust)

    @property
    def keys(self) -> StoreKeys:
        """Return the keys of the store under the prefix."""
        return StoreKeys(self.prefix)

    @asynccontextmanager
    async def connect(self) -> AsyncIterator[RetryingStore]:
        """Connect to the store for as long as the context is open."""
        async with RetryingStore(self.store_settings()) as store:
            yield store

    @property
    def author(self) -> str:
        """Return the author of changes: the store's user, or else the system's."""
        return self.user or getpass.getuser()

    def editor(self, store: RetryingStore) -> ConfigurationEditor:
        """Return an editor of the configuration."""
        return ConfigurationEditor(store, self.keys, self.author)
