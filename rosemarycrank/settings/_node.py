"""Settings of a node."""

import typing

import attrs

from rosemarycrank.settings import _constraints

ADDRESS = _constraints.Text(
    r'[^\s:/]+:\d{1,5}', 'host:port, for example 10.0.0.7:7100'
)
NAME = _constraints.Text(
    r'[A-Za-z0-9][A-Za-z0-9._-]{0,63}',
    'a name of 1 to 64 letters, digits, ., _ or -',
)
LOG_LEVELS = ('DEBUG', 'INFO', 'WARNING', 'ERROR')
MAX_SEED = 2**63 - 1
TLS_KEYS = ('tls_certificate_file', 'tls_key_file')


@attrs.frozen
class NodeSettings:
    """Settings of one ``rosemarycrank-node``.

    Attributes
    ----------
    address : str
        ``host:port`` of the messaging socket, as other nodes reach it.
    listen_address : str
        ``host:port`` that the messaging socket listens on, where it is
        not ``address``; for example behind address translation.
    http_address : str
        ``host:port`` for clients and the local upstream's own calls.
    admin_address : str
        ``host:port`` for operators, metrics and upstream announcements.
    failure_domain : str
        Failure domain of the VM.
    cluster_key_file : str
        File with the hexadecimal key, at least 16 bytes, that all nodes
        share.
    region : str
        Region of the failure domain, informative.
    seeds : tuple of str
        ``host:port`` of messaging sockets to join through.
    platform_url : str
        Base URL of the platform; empty to run without it.
    trusted_keys_file : str
        List of bundle signers; empty to accept no bundle.
    operator_token_file : str
        File with the operators' tokens; empty to ask operators for none,
        which suits only an admin address on loopback.
    tls_certificate_file, tls_key_file : str
        Certificate and private key in PEM for the HTTP and admin
        listeners; both empty to serve without TLS.
    admission, balancing, retry, ledger : str
        Names of registered plug-ins.
    bundle_poll_s : float
        Seconds between two reads of the bundle table by a poller.
    attempt_timeout_s : float
        Seconds without an answer after which an attempt is revoked.
    max_connections : int
        Connections that the HTTP server keeps open.
    max_body_bytes : int
        Longest request body.
    log_level : str
        Lowest level that is logged.
    seed : int
        Seed of the random source; 0 takes one from the operating system.
    """

    address: str
    http_address: str
    admin_address: str
    failure_domain: str
    cluster_key_file: str
    listen_address: str = ''
    region: str = ''
    seeds: tuple = ()
    platform_url: str = ''
    trusted_keys_file: str = ''
    operator_token_file: str = ''
    tls_certificate_file: str = ''
    tls_key_file: str = ''
    admission: str = 'adaptive'
    balancing: str = 'local-first'
    retry: str = 'token-bucket'
    ledger: str = 'claims'
    bundle_poll_s: float = 1.0
    attempt_timeout_s: float = 0.5
    max_connections: int = 512
    max_body_bytes: int = 1_048_576
    log_level: str = 'INFO'
    seed: int = 0

    constraints: typing.ClassVar[dict] = {
        'address': ADDRESS,
        'http_address': ADDRESS,
        'admin_address': ADDRESS,
        'failure_domain': NAME,
        'cluster_key_file': _constraints.Text('.+', 'the path of a file'),
        'listen_address': _constraints.Text(
            r'([^\s:/]+:\d{1,5})?', 'host:port, or empty'
        ),
        'region': _constraints.Text(),
        'seeds': _constraints.ListOf(ADDRESS),
        'platform_url': _constraints.Text(
            r'(http://[^\s/]+:\d+/?)?', 'http://host:port, or empty'
        ),
        'trusted_keys_file': _constraints.Text(),
        'operator_token_file': _constraints.Text(),
        'tls_certificate_file': _constraints.Text(),
        'tls_key_file': _constraints.Text(),
        'admission': NAME,
        'balancing': NAME,
        'retry': NAME,
        'ledger': NAME,
        'bundle_poll_s': _constraints.Interval(float, 0.05, 60.0, 's'),
        'attempt_timeout_s': _constraints.Interval(float, 0.01, 60.0, 's'),
        'max_connections': _constraints.Interval(int, 1, 65536),
        'max_body_bytes': _constraints.Interval(
            int, 1, 64 * 1024 * 1024, 'bytes'
        ),
        'log_level': _constraints.Options(LOG_LEVELS),
        'seed': _constraints.Interval(int, 0, MAX_SEED),
    }

    @staticmethod
    def cross_check(document, context):
        """Refuse a TLS certificate without a key, or the reverse.

        Parameters
        ----------
        document : LocatedValue
            Content of the file.
        context : ValidationContext
            Its place; takes the problem.
        """
        given = [name for name in TLS_KEYS if document.get(name).data]
        if len(given) == 1:
            found = document.get(given[0])
            context.child(given[0]).add_problem(
                found.line,
                f'{found.describe()} alone',
                f'{" and ".join(TLS_KEYS)} together, or neither',
            )
