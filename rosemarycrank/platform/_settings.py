"""Settings file of the platform: lines of the form ``name=value``."""

import os
import resource

import attrs

from rosemarycrank import addresses


#: Number of descriptors that a process uses at most where nothing limits it.
MAX_DESCRIPTORS = 1_000_000

#: Memory limit of a process if the file states none, in MB.
DEFAULT_MEMORY_MB = 300.0

_DAY_S = 86400.0


@attrs.frozen
class Range:
    """Range of a number in the settings.

    Attributes
    ----------
    unit : str
        Unit of the number.
    least, most : float
        Bounds of the range, both allowed.
    default : float or None
        Value if the file states none.
    """

    unit: str
    least: float
    most: float
    default: float | None


RANGES_BY_NAME = {
    'bounds.grace_s': Range('s', 0.0, _DAY_S, 6.0),
    'bounds.drain_s': Range('s', 0.0, _DAY_S, 0.0),
    'bounds.retry_budget_ratio': Range('retries a request', 0.0, 100.0, 0.2),
    'bounds.budget_slack': Range('retries', 0.0, 1e9, 48.0),
    'limits.memory_mb': Range('MB', 1.0, 1e8, DEFAULT_MEMORY_MB),
    'limits.max_fds': Range('descriptors', 1.0, 1e12, None),
}


class SettingsError(ValueError):
    """A settings file that cannot be used."""


@attrs.frozen
class Settings:
    """Settings of a node process.

    Attributes
    ----------
    node_name : str
        Name of the VM.
    ip : str
        IP address of the VM.
    failure_domain : str
        Failure domain of the VM.
    client_address : tuple of (str, int)
        Address for requests of clients and of the local target.
    ready_address : tuple of (str, int)
        Address for readiness probes.
    control_address : tuple of (str, int)
        Address for heartbeats of the local target.
    peer_address : str
        ``host:port`` at which other nodes reach this one.
    peer_listen_address : tuple of (str, int)
        Address at which this node accepts connections of other nodes. It
        differs from `peer_address` if a proxy forwards the connections.
    spare_peer_ports : tuple of int
        Further ports for connections of other nodes, if that of
        `peer_address` is taken.
    target_address : tuple of (str, int)
        Address of the local target.
    service : str
        Service of the local target.
    store_address : tuple of (str, int)
        Address of the store.
    grace_s : float
        Seconds from SIGTERM to SIGKILL.
    drain_s : float
        Seconds for which a target serves after its leaving was acknowledged;
        0 if the file does not state it.
    retry_budget_ratio : float
        Retries that all nodes together may send to a service per request.
    retry_budget_slack : float
        Retries that all nodes together may send to a service in addition.
    memory_mb : float
        Memory limit of the process in MB; the process is killed above it.
    max_descriptors : int
        Number of descriptors that the process may open; that of the operating
        system if the file states none, or more.
    """

    node_name: str
    ip: str
    failure_domain: str
    client_address: tuple
    ready_address: tuple
    control_address: tuple
    peer_address: str
    peer_listen_address: tuple
    spare_peer_ports: tuple
    target_address: tuple
    service: str
    store_address: tuple
    grace_s: float
    drain_s: float
    retry_budget_ratio: float
    retry_budget_slack: float
    memory_mb: float
    max_descriptors: int


def _parse_lines(text):
    values = {}
    for number, line in enumerate(text.splitlines(), 1):
        line = line.strip()
        if not line or line.startswith('#'):
            continue
        name, separator, value = line.partition('=')
        if not separator:
            raise SettingsError(
                f'line {number}: got {line!r}, expected name=value'
            )
        values[name.strip()] = value.strip()
    return values


def _required(values, name):
    value = values.get(name, '')
    if not value:
        raise SettingsError(f'{name}: missing')
    return value


def _number(values, name, default=None):
    """Return a number, which has to lie in its range.

    Raises
    ------
    SettingsError
        If it is none, or out of its range.
    """
    allowed = RANGES_BY_NAME[name]
    value = values.get(name, '')
    if not value:
        return allowed.default if default is None else default
    try:
        number = float(value)
    except ValueError:
        raise SettingsError(f'{name}: got {value!r}, expected a number')
    # A comparison with NaN is false.
    if not allowed.least <= number <= allowed.most:
        raise SettingsError(
            f'{name}: got {value}, allowed {allowed.least:g} to '
            f'{allowed.most:g} {allowed.unit}'
        )
    return number


def _max_descriptors(values):
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if allowed == resource.RLIM_INFINITY:
        allowed = MAX_DESCRIPTORS
    return int(min(_number(values, 'limits.max_fds', allowed), allowed))


def _address(values, name, default=None):
    if default is not None and not values.get(name):
        return default
    try:
        return addresses.parse(_required(values, name))
    except ValueError as error:
        raise SettingsError(f'{name}: {error}') from error


def _peer_ports(values):
    value = _required(values, 'port_range')
    first, _, last = value.partition(',')
    last = last or first
    try:
        _, first_port = addresses.parse(f'any:{first}')
        _, last_port = addresses.parse(f'any:{last}')
    except ValueError as error:
        raise SettingsError(
            f'port_range: got {value!r}, expected first,last'
        ) from error
    return range(first_port, max(first_port, last_port) + 1)


def parse(text):
    """Parse the text of a settings file.

    Parameters
    ----------
    text : str
        Content of the file. Unknown names are ignored.

    Returns
    -------
    Settings
        The parsed settings.

    Raises
    ------
    SettingsError
        If a value is missing or malformed.
    """
    values = _parse_lines(text)
    ip = _required(values, 'ip')
    peer_port, *spare_peer_ports = _peer_ports(values)
    return Settings(
        node_name=_required(values, 'node_name'),
        ip=ip,
        failure_domain=_required(values, 'zone'),
        client_address=_address(values, 'listen.outbound'),
        ready_address=_address(values, 'listen.ready'),
        control_address=_address(values, 'listen.control'),
        peer_address=f'{ip}:{peer_port}',
        peer_listen_address=_address(values, 'listen.peer', (ip, peer_port)),
        spare_peer_ports=(
            () if values.get('listen.peer') else tuple(spare_peer_ports)
        ),
        target_address=_address(values, 'app_addr'),
        service=_required(values, 'service'),
        store_address=_address(values, 'provider.address'),
        grace_s=_number(values, 'bounds.grace_s'),
        drain_s=_number(values, 'bounds.drain_s'),
        retry_budget_ratio=_number(values, 'bounds.retry_budget_ratio'),
        retry_budget_slack=_number(values, 'bounds.budget_slack'),
        memory_mb=_number(values, 'limits.memory_mb'),
        max_descriptors=_max_descriptors(values),
    )


def read(path):
    """Read and parse a settings file.

    Raises
    ------
    SettingsError
        If the file cannot be read or a value is missing or malformed.
    """
    try:
        with open(path, encoding='utf-8') as file:
            return parse(file.read())
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f'{path}: {error}') from error


def modification_time_ns(path):
    """Return the modification time of a file; 0 if the file does not exist.

    The time is in Unix nanoseconds.
    """
    try:
        return os.stat(path).st_mtime_ns
    except OSError:
        # The file may be about to be replaced; the next check will find it.
        return 0
