"""TLS context for clients."""

import ssl as standard_ssl

from gevent import ssl


def client_tls_context(ca_file):
    """Return a context that verifies servers against certificate authorities.

    The server's certificate must name the host that the client connects to,
    usually an IP address. The minimum version is TLS 1.2.

    Parameters
    ----------
    ca_file : str or path-like
        Certificates of the authorities in PEM; no others are trusted.

    Returns
    -------
    gevent.ssl.SSLContext
        The context.

    Raises
    ------
    ValueError
        If the file cannot be read or contains no certificate.
    """
    # create_default_context() is not used: without monkey patching, its
    # sockets would block all greenlets.
    context = ssl.SSLContext(standard_ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = standard_ssl.TLSVersion.TLSv1_2
    try:
        context.load_verify_locations(cafile=ca_file)
    except OSError as error:
        raise ValueError(
            f'{ca_file}: {error.strerror or error}, allowed certificates '
            'in PEM'
        ) from error
    return context
