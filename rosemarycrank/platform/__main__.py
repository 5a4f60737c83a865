"""Entry point of a node on the users' platform."""

import logging
import os
import signal
import sys
import time

import gevent

from rosemarycrank import dataplane
from rosemarycrank.platform import _adapter
from rosemarycrank.platform import _names
from rosemarycrank.platform import _settings

#: Port of the metrics page, as the deploy file states it.
METRICS_PORT = 9464

#: Seconds between looks for a changed settings file.
WATCH_S = 1.0

_STDOUT = 1
_LOG = logging.getLogger(__name__)


def _process_settings(settings):
    return dataplane.ProcessSettings(
        node_name=settings.node_name,
        failure_domain=settings.failure_domain,
        client_address=settings.outbound,
        ready_address=settings.ready,
        control_address=settings.control,
        metrics_address=(settings.ip, METRICS_PORT),
        peer_address=settings.peer,
        peer_listen=settings.peer_listen,
        target_address=settings.target,
        service=settings.service,
        grace_s=settings.grace_s,
        budget=dataplane.RetryBudgetSettings(
            settings.retry_budget_ratio, settings.retry_budget_slack
        ),
        targets_table=_names.TARGETS_TABLE,
        costs_table=_names.COSTS_TABLE,
        configuration_table=_names.OPERATOR_TABLE,
        configuration_key=_names.CONFIGURATION_KEY,
    )


class _SettingsWatch:
    """Reads the settings file again when it changes, or on SIGHUP."""

    def __init__(self, path, settings, process):
        self._path = path
        self._settings = settings
        self._process = process
        self._modified_at = _settings.modified_at(path)
        process.reactor.timers.every(WATCH_S, self._look)
        gevent.signal_handler(signal.SIGHUP, self._reload)

    def _look(self, _now):
        modified_at = _settings.modified_at(self._path)
        if modified_at != self._modified_at:
            self._modified_at = modified_at
            self._reload()

    def _reload(self):
        try:
            settings = _settings.read(self._path)
        except _settings.SettingsError as error:
            _LOG.error(
                'settings not taken: %s', error, extra={'event': 'reload'}
            )
            return
        changed = settings != self._settings
        if settings.store != self._settings.store:
            self._process.store.client.move(settings.store)
        self._settings = settings
        _LOG.warning(
            'settings read again',
            extra={'event': 'reload', 'changed': changed},
        )


def main():
    """Run a node until it is told to stop."""
    path = os.environ.get(_names.SETTINGS_VARIABLE, '')
    try:
        settings = _settings.read(path)
    except _settings.SettingsError as error:
        sys.exit(f'{_names.SETTINGS_VARIABLE}: {error}')
    handler = dataplane.configure_log(
        settings.node_name, _STDOUT, time.monotonic
    )
    process = dataplane.NodeProcess(
        _process_settings(settings),
        _adapter.PlatformAdapter(settings.store),
        handler,
    )
    _SettingsWatch(path, settings, process)
    process.run()


if __name__ == '__main__':
    main()
