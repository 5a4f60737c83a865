"""The platform's settings file: lines of ``a.b=value``."""

import os

import attrs

from rosemarycrank import dataplane


class SettingsError(ValueError):
    """A settings file that cannot be used."""


@attrs.frozen
class Settings:
    """What a process is told at its start.

    Attributes
    ----------
    node_name : str
        Name of the machine.
    ip : str
        Its IP address.
    failure_domain : str
        Its failure domain.
    outbound, ready, control : tuple of (str, int)
        Addresses for requests of clients and the local target, for the
        question whether the node is ready, and for heartbeats.
    peer : str
        ``host:port`` at which other nodes reach this one.
    peer_listen : tuple of (str, int)
        Address at which it takes their connections: another one than `peer`
        where something stands between that passes connections on.
    target : tuple of (str, int)
        Address of the local target.
    service : str
        Service of the local target.
    store : tuple of (str, int)
        Address of the store.
    grace_s : float
        Seconds from SIGTERM to SIGKILL.
    retry_budget_ratio, retry_budget_slack : float
        Repeats allowed to a service by all nodes together: for each
        request, and beyond that.
    memory_mb : float
        Memory over which the process is killed, in MB.
    """

    node_name: str
    ip: str
    failure_domain: str
    outbound: tuple
    ready: tuple
    control: tuple
    peer: str
    peer_listen: tuple
    target: tuple
    service: str
    store: tuple
    grace_s: float
    retry_budget_ratio: float
    retry_budget_slack: float
    memory_mb: float


def _values(text):
    values = {}
    for number, line in enumerate(text.splitlines(), 1):
        line = line.strip()
        if not line or line.startswith('#'):
            continue
        name, separator, value = line.partition('=')
        if not separator:
            raise SettingsError(f'line {number}: got {line!r}, allowed a=b')
        values[name.strip()] = value.strip()
    return values


def _text(values, name):
    value = values.get(name, '')
    if not value:
        raise SettingsError(f'{name}: missing')
    return value


def _number(values, name, default):
    value = values.get(name, '')
    if not value:
        return default
    try:
        return float(value)
    except ValueError:
        raise SettingsError(f'{name}: got {value!r}, allowed a number')


def _address(values, name, default=None):
    if default is not None and not values.get(name):
        return default
    try:
        return dataplane.parse_address(_text(values, name))
    except ValueError as error:
        raise SettingsError(f'{name}: {error}') from error


def _first_port(values):
    value = _text(values, 'port_range')
    first = value.split(',')[0]
    if not first.isdigit():
        raise SettingsError(f'port_range: got {value!r}, allowed first,last')
    return int(first)


def parse(text):
    """Read settings.

    Parameters
    ----------
    text : str
        Content of the file. Names that are not known are ignored.

    Returns
    -------
    Settings
        The settings.

    Raises
    ------
    SettingsError
        If a value is missing or of the wrong form.
    """
    values = _values(text)
    ip = _text(values, 'ip')
    first_port = _first_port(values)
    return Settings(
        node_name=_text(values, 'node_name'),
        ip=ip,
        failure_domain=_text(values, 'zone'),
        outbound=_address(values, 'listen.outbound'),
        ready=_address(values, 'listen.ready'),
        control=_address(values, 'listen.control'),
        peer=f'{ip}:{first_port}',
        peer_listen=_address(values, 'listen.peer', (ip, first_port)),
        target=_address(values, 'app_addr'),
        service=_text(values, 'service'),
        store=_address(values, 'provider.address'),
        grace_s=_number(values, 'bounds.grace_s', 6.0),
        retry_budget_ratio=_number(values, 'bounds.retry_budget_ratio', 0.2),
        retry_budget_slack=_number(values, 'bounds.budget_slack', 48.0),
        memory_mb=_number(values, 'limits.memory_mb', 300.0),
    )


def read(path):
    """Read the settings file.

    Raises
    ------
    SettingsError
        If it cannot be read or used.
    """
    try:
        with open(path, encoding='utf-8') as file:
            return parse(file.read())
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f'{path}: {error}') from error


def modified_at(path):
    """Return when the settings file changed last; 0 if there is none."""
    try:
        return os.stat(path).st_mtime_ns
    except OSError:
        # It may be replaced at this moment; the next look finds it.
        return 0
