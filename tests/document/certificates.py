"""Certificates for tests."""

import datetime
import ipaddress
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from samphirespring.process.settings import TlsSettings

START = datetime.datetime(2020, 1, 1, tzinfo=datetime.UTC)
END = datetime.datetime(2100, 1, 1, tzinfo=datetime.UTC)


class Authority:
    """Certificate authority that writes its certificates and keys into a folder."""

    def __init__(self, folder: Path, name: str) -> None:
        self._folder = folder
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        self._serial = 1
        certificate = self._sign(self._name, self._key.public_key(), is_authority=True)
        self.file = folder / f"{name}.pem"
        self.file.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))

    def issue(self, name: str, *, authority_file: Path | None = None) -> TlsSettings:
        """Write a new certificate and key under a name; replaces earlier ones."""
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        certificate = self._sign(subject, key.public_key(), is_authority=False)
        certificate_file = self._folder / f"{name}.crt"
        key_file = self._folder / f"{name}.key"
        certificate_file.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
        key_file.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return TlsSettings(
            certificate_file=str(certificate_file),
            key_file=str(key_file),
            authority_file=str(authority_file or self.file),
        )

    def _sign(self, subject, public_key, *, is_authority):
        self._serial += 1
        builder = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self._name)
            .public_key(public_key)
            .serial_number(self._serial)
            .not_valid_before(START)
            .not_valid_after(END)
            .add_extension(x509.BasicConstraints(ca=is_authority, path_length=None), critical=True)
        )
        if not is_authority:
            address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
            builder = builder.add_extension(x509.SubjectAlternativeName([address]), critical=False)
        return builder.sign(self._key, hashes.SHA256())
