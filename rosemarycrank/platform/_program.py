"""Program of a node on the users' platform."""

import logging
import os
import signal
import sys
import time

import attrs

from rosemarycrank import dataplane
from rosemarycrank.platform import _adapter
from rosemarycrank.platform import _names
from rosemarycrank.platform import _settings
from rosemarycrank import process_signals

#: Port of the metrics page, as in the deploy file.
METRICS_PORT = 9464

BYTES_PER_MB = 1_000_000

#: Seconds between checks whether the settings file has changed.
SETTINGS_CHECK_INTERVAL_S = 1.0

#: Time for which a settings file that cannot be used is read again at the
#: start, as it may be half written, and the pause between, in seconds.
SETTINGS_PATIENCE_S = 2.0
SETTINGS_RETRY_INTERVAL_S = 0.1

#: Settings that take effect without a restart.
_CHANGEABLE = (
    'store_address',
    'grace_s',
    'drain_s',
    'retry_budget_ratio',
    'retry_budget_slack',
    'memory_mb',
)

_STDOUT = 1
_LOG = logging.getLogger(__name__)


def _process_settings(settings):
    return dataplane.ProcessSettings(
        node_name=settings.node_name,
        failure_domain=settings.failure_domain,
        client_address=settings.client_address,
        ready_address=settings.ready_address,
        control_address=settings.control_address,
        metrics_address=(settings.ip, METRICS_PORT),
        peer_address=settings.peer_address,
        peer_listen_address=settings.peer_listen_address,
        target_address=settings.target_address,
        service=settings.service,
        grace_s=settings.grace_s,
        drain_s=settings.drain_s,
        budget=dataplane.RetryBudgetSettings(
            settings.retry_budget_ratio, settings.retry_budget_slack
        ),
        max_descriptors=settings.max_descriptors,
        max_memory_bytes=settings.memory_mb * BYTES_PER_MB,
        targets_table=_names.TARGETS_TABLE,
        costs_table=_names.COSTS_TABLE,
        configuration_table=_names.OPERATOR_TABLE,
        configuration_key=_names.CONFIGURATION_KEY,
    )


def _select_peer_port(settings):
    """Return the settings with a free port for connections of other nodes.

    If all are taken, it is the first one, which may become free.
    """
    for port in (settings.peer_listen_address[1], *settings.spare_peer_ports):
        if dataplane.is_free((settings.ip, port)):
            break
    else:
        return settings
    if port == settings.peer_listen_address[1]:
        return settings
    _LOG.warning(
        'port %d is taken; other nodes are to use %d',
        settings.peer_listen_address[1],
        port,
        extra={'event': 'peer_port', 'port': port},
    )
    return attrs.evolve(
        settings,
        peer_address=f'{settings.ip}:{port}',
        peer_listen_address=(settings.ip, port),
    )


class _SettingsWatcher:
    """Reloads the settings file when it changes and on SIGHUP.

    The settings in `_CHANGEABLE` take effect at once; the others apply from
    the next start of the process.
    """

    def __init__(self, path, settings, modified_ns, process):
        self._path = path
        self._settings = settings
        self._process = process
        self._modified_ns = modified_ns
        process.reactor.timers.every(
            SETTINGS_CHECK_INTERVAL_S, self._check_file
        )
        process.signals.subscribe(signal.SIGHUP, self.reload)

    def _check_file(self, _now):
        modified_ns = _settings.modification_time_ns(self._path)
        if modified_ns != self._modified_ns:
            self._modified_ns = modified_ns
            self.reload()

    def reload(self):
        """Read the settings file again."""
        try:
            settings = _settings.read(self._path)
        except _settings.SettingsError as error:
            _LOG.error(
                'settings file not reloaded: %s',
                error,
                extra={'event': 'reload'},
            )
            return
        changed = _changed_names(settings, self._settings)
        if 'store_address' in changed:
            self._process.store.client.set_address(settings.store_address)
        self._process.update_settings(_process_settings(settings))
        self._settings = settings
        _LOG.warning(
            'settings file reloaded',
            extra={
                'event': 'reload',
                'taken': [name for name in changed if name in _CHANGEABLE],
                'not_taken': [
                    name for name in changed if name not in _CHANGEABLE
                ],
            },
        )


def _changed_names(settings, known):
    """Return the names of the settings whose values differ."""
    return [
        field.name
        for field in attrs.fields(type(settings))
        if getattr(settings, field.name) != getattr(known, field.name)
    ]


def _read_settings(path, signals):
    """Read the settings file, again for a while if it cannot be used.

    Parameters
    ----------
    path : str
        The file.
    signals : ProcessSignals
        Signals of the process.

    Returns
    -------
    tuple of (Settings, int)
        The settings, and the modification time of the file before it was
        read, in Unix nanoseconds.

    Raises
    ------
    SettingsError
        If it still cannot be used.
    StopRequestedError
        If the process is to stop.
    """
    give_up_at = time.monotonic() + SETTINGS_PATIENCE_S
    is_logged = False
    while True:
        signals.check_start()
        modified_ns = _settings.modification_time_ns(path)
        try:
            return _settings.read(path), modified_ns
        except _settings.SettingsError as error:
            if time.monotonic() >= give_up_at:
                raise
            if not is_logged:
                is_logged = True
                _LOG.warning(
                    'settings file cannot be used yet: %s',
                    error,
                    extra={'event': 'settings_unusable'},
                )
        time.sleep(SETTINGS_RETRY_INTERVAL_S)


def run(signals):
    """Run a node until SIGTERM, and then until its planned stop ends.

    Parameters
    ----------
    signals : ProcessSignals
        Signals of the process, of which some may have been received.
    """
    handler = dataplane.configure_log('', _STDOUT, time.monotonic)
    try:
        _run_node(signals, handler)
    except _settings.SettingsError as error:
        sys.exit(f'{_names.SETTINGS_VARIABLE}: {error}')
    except process_signals.StopRequestedError as error:
        _LOG.warning('%s', error, extra={'event': 'stopped'})
        return
    except dataplane.AddressTakenError as error:
        sys.exit(str(error))
    except Exception:
        _LOG.exception('node ended by an error', extra={'event': 'ended'})
        sys.exit(1)
    _LOG.warning('node ended', extra={'event': 'ended'})


def _run_node(signals, log_handler):
    path = os.environ.get(_names.SETTINGS_VARIABLE, '')
    settings, modified_ns = _read_settings(path, signals)
    log_handler.formatter.node = settings.node_name
    process = dataplane.NodeProcess(
        _process_settings(_select_peer_port(settings)),
        _adapter.PlatformAdapter(settings.store_address),
        log_handler,
        signals,
    )
    _SettingsWatcher(path, settings, modified_ns, process)
    process.run()
