"""TLS context of clients."""

import ssl as standard_ssl

from gevent import ssl


def client_tls_context(ca_file):
    """Return a context that verifies servers against a list of authorities.

    The server's certificate has to name the host that is connected to, an
    IP number as a rule, and TLS 1.2 is the lowest version.

    Parameters
    ----------
    ca_file : str or path-like
        Certificates of the authorities in PEM; none besides is trusted.

    Returns
    -------
    gevent.ssl.SSLContext
        The context.

    Raises
    ------
    ValueError
        If the file cannot be read or holds no certificate.
    """
    # Not create_default_context(): without monkey patching its sockets
    # block all greenlets.
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
