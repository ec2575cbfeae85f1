"""TLS contexts made from settings."""

import ssl

from samphirespring.process.settings import SettingsInvalidError, TlsSettings


def make_server_context(settings: TlsSettings, *, mutual: bool) -> ssl.SSLContext:
    """Return the context of a listening socket.

    Args:
        settings: Files of the identity.
        mutual: Whether clients must present a certificate issued by the authority.

    Raises:
        SettingsInvalidError: A file can't be read or is missing.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    if mutual:
        _require_authority(settings)
        context.verify_mode = ssl.CERT_REQUIRED
        context.set_alpn_protocols(["h2"])
    load_identity(context, settings)
    return context


def make_client_context(settings: TlsSettings) -> ssl.SSLContext:
    """Return the context of links that this process opens.

    Args:
        settings: Files of the identity; the authority is required.

    Raises:
        SettingsInvalidError: A file can't be read or is missing.
    """
    _require_authority(settings)
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    # Peers are authenticated by their certificate authority, not by host name: addresses are IPs.
    context.check_hostname = False
    context.set_alpn_protocols(["h2"])
    load_identity(context, settings)
    return context


def load_identity(context: ssl.SSLContext, settings: TlsSettings) -> None:
    """Load certificate, key and authority into a context; open connections keep the old ones.

    Args:
        context: The context.
        settings: Files of the identity.

    Raises:
        SettingsInvalidError: A file can't be read, or the key doesn't match the certificate.
    """
    try:
        context.load_cert_chain(settings.certificate_file, settings.key_file)
        if settings.authority_file is not None:
            context.load_verify_locations(settings.authority_file)
    except (OSError, ssl.SSLError) as error:
        raise SettingsInvalidError(f"TLS files: {error}") from None


def _require_authority(settings: TlsSettings) -> None:
    if settings.authority_file is None:
        raise SettingsInvalidError("authority_file is required for mutual TLS")
