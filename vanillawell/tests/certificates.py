"""Make certificates for tests, by an authority of their own."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trustme

if TYPE_CHECKING:
    from pathlib import Path


class Certificates:
    """A folder with an authority and certificates for IP numbers of the loopback."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._authority = trustme.CA()
        self.authorities = folder / "authorities.pem"
        self._authority.cert_pem.write_to_path(str(self.authorities))

    def server(self, name: str, *hosts: str) -> dict[str, str]:
        """Write a certificate and its key, over earlier ones of that name."""
        made = self._authority.issue_cert(*hosts)
        certificate, key = self._folder / f"{name}.pem", self._folder / f"{name}.key"
        certificate.write_bytes(b"".join(blob.bytes() for blob in made.cert_chain_pems))
        made.private_key_pem.write_to_path(str(key))
        return {"certificate": str(certificate), "key": str(key)}

    @property
    def trust(self) -> dict[str, str]:
        """Return the settings of a client that trusts the authority."""
        return {"authorities": str(self.authorities)}
