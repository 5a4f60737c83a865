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
TLS_FILE_KEYS = ('tls_certificate_file', 'tls_key_file')


@attrs.frozen
class NodeSettings:
    """Settings of one ``rosemarycrank-node``.

    Attributes
    ----------
    address : str
        ``host:port`` of the messaging socket, as other nodes reach it.
    listen_address : str
        ``host:port`` on which the messaging socket listens, if it differs
        from ``address``, for example behind address translation; else
        empty.
    http_address : str
        ``host:port`` for requests of clients and of the local upstream.
    admin_address : str
        ``host:port`` for operators, metrics and upstream announcements.
    failure_domain : str
        Failure domain of the VM.
    cluster_key_file : str
        File with the key that all nodes share: at least 16 bytes in
        hexadecimal.
    region : str
        Region of the failure domain, for information only.
    seeds : tuple of str
        ``host:port`` of the messaging sockets of nodes through which this
        node joins the cluster.
    platform_url : str
        Base URL of the platform; empty to run without the platform.
    trusted_keys_file : str
        File with the trusted keys of bundle signers; empty to accept no
        bundle.
    operator_token_file : str
        File with the operators' tokens; empty to require none, which is
        safe only if the admin address is a loopback address.
    tls_certificate_file, tls_key_file : str
        Files with the certificate and private key, in PEM, of the HTTP
        and admin listeners; both empty to serve without TLS.
    admission, balancing, retry, ledger : str
        Names of registered plug-ins.
    bundle_poll_s : float
        Seconds between reads of the bundle table, on nodes that poll it.
    attempt_timeout_s : float
        Seconds without a reply after which an attempt is revoked.
    max_connections : int
        Maximum number of open connections of the HTTP server.
    max_body_bytes : int
        Maximum length of a request body, in bytes.
    grace_s : float
        Seconds from the stop signal until a supervisor kills the process.
        The node answers all requests and exits within that time.
    log_level : str
        Minimum level of the log lines that are written.
    seed : int
        Seed of the random source; 0 to use one from the operating system.
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
    grace_s: float = 30.0
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
        'grace_s': _constraints.Interval(float, 1.0, 600.0, 's'),
        'log_level': _constraints.Options(LOG_LEVELS),
        'seed': _constraints.Interval(int, 0, MAX_SEED),
    }

    @staticmethod
    def cross_check(document, context):
        """Check that the TLS certificate and key are both given, or neither.

        Parameters
        ----------
        document : LocatedValue
            Content of the file.
        context : ValidationContext
            Context of the content; collects the problems.
        """
        given_keys = [
            name for name in TLS_FILE_KEYS if document.get(name).data
        ]
        if len(given_keys) == 1:
            found = document.get(given_keys[0])
            context.child(given_keys[0]).add_problem(
                found.line,
                f'{found.describe()} alone',
                f'{" and ".join(TLS_FILE_KEYS)} together, or neither',
            )
