"""Issue certificates for tests from a certificate authority of their own."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trustme

if TYPE_CHECKING:
    from pathlib import Path


class CertificateAuthority:
    """Certificate authority that writes certificates for loopback addresses to a folder."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._authority = trustme.CA()
        self.certificate_file = folder / "authorities.pem"
        self._authority.cert_pem.write_to_path(str(self.certificate_file))

    def issue(self, name: str, *hosts: str) -> dict[str, str]:
        """Issue a certificate and write it with its key, replacing earlier files of that name."""
        issued = self._authority.issue_cert(*hosts)
        certificate, key = self._folder / f"{name}.pem", self._folder / f"{name}.key"
        certificate.write_bytes(b"".join(blob.bytes() for blob in issued.cert_chain_pems))
        issued.private_key_pem.write_to_path(str(key))
        return {"certificate": str(certificate), "key": str(key)}

    @property
    def trust(self) -> dict[str, str]:
        """Return the settings of a client that trusts the authority."""
        return {"authorities": str(self.certificate_file)}
