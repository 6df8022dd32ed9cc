"""Hold what every operator command needs: where the store is, who asks, how to print."""

from __future__ import annotations

import getpass
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from enum import StrEnum

from vanillawell.config.settings import Address, StoreSettings
from vanillawell.coordination.operator import ConfigurationEditor
from vanillawell.exceptions import SettingsError
from vanillawell.protocol.documents import StoreKeys
from vanillawell.transport.store_etcd import EtcdStore


class OutputFormat(StrEnum):
    """How results are printed."""

    TABLE = "table"
    JSON = "json"


@dataclass(frozen=True, slots=True)
class CommandContext:
    """Options that all commands share."""

    store: str
    prefix: str
    output: OutputFormat

    def store_settings(self) -> StoreSettings:
        """Return the store's settings; raises SettingsError for a malformed address."""
        host, _, port = self.store.rpartition(":")
        try:
            address = Address(host=host, port=int(port))
        except ValueError as error:
            raise SettingsError(f"--store: {self.store!r} is not IP:PORT") from error
        return StoreSettings(address=address, prefix=self.prefix)

    @property
    def keys(self) -> StoreKeys:
        """Return the names of the store's keys."""
        return StoreKeys(self.prefix)

    @asynccontextmanager
    async def connect(self) -> AsyncIterator[EtcdStore]:
        """Open the store."""
        async with EtcdStore(self.store_settings()) as store:
            yield store

    def editor(self, store: EtcdStore) -> ConfigurationEditor:
        """Return an editor that signs as the present user."""
        return ConfigurationEditor(store, self.keys, getpass.getuser())
