"""Starts of a node, with signals and taken ports, as a real process."""

import pathlib
import signal
import socket

import gevent
import pytest

from benchmarks import _platform_deployment as deployment

METRICS_PORT = 9464
SIGNALLED_START = 'tests.platform.signalled_start'
FIRST_PEER_PORT = int(deployment.PEER_PORTS.split(',')[0])


@pytest.fixture
def cluster(tmp_path, request):
    # The numbers of any two tests must differ, as in test_processes.py.
    number = 20 + sum(map(ord, request.node.name)) % 200
    cluster = deployment.Deployment(
        tmp_path, f'127.2.{number}', ['archive', 'dues']
    )
    cluster.configure(1, read='archive', pay='dues')
    try:
        yield cluster
    finally:
        cluster.close()


def _log(cluster, ip):
    return (cluster.directory / f'{ip}.log').read_text()


def _mapped_libraries(cluster, ip):
    return pathlib.Path(f'/proc/{cluster.pid(ip)}/maps').read_text()


def _serves(cluster, ip, prefix='pay'):
    return cluster.send(ip, prefix)[1] == 200


# Guards against a process that is ended by SIGHUP while it starts: its handler
# was installed after the imports.
def test_sighup_during_the_start_does_not_end_a_node(cluster):
    ip = cluster.ips[0]
    cluster.start(ip)
    cluster.wait_until_caught(ip, signal.SIGHUP)
    assert 'gevent' not in _mapped_libraries(cluster, ip)
    for _ in range(100):
        assert not cluster.has_exited(ip)
        cluster.signal(ip, signal.SIGHUP)
        gevent.sleep(0.005)
    cluster.wait_until(lambda: cluster.is_ready(ip), 'node is not ready')


# Guards against a change of the settings that is announced while a node
# starts, and is not read.
def test_sighup_during_the_start_is_acted_on(cluster):
    ip = cluster.ips[0]
    cluster.start(ip)
    cluster.wait_until_caught(ip, signal.SIGHUP)
    cluster.signal(ip, signal.SIGHUP)
    cluster.wait_until(
        lambda: 'settings file reloaded' in _log(cluster, ip),
        'the settings are not read again',
    )
    assert _log(cluster, ip).count('settings file reloaded') == 1


# Guards against a node that SIGTERM ends without its handler, or that goes on.
@pytest.mark.parametrize('delay_s', [0.0, 0.05, 0.1, 0.2, 0.4])
def test_sigterm_during_the_start_ends_a_node_in_order(cluster, delay_s):
    ip = cluster.ips[0]
    cluster.start(ip)
    cluster.wait_until_caught(ip, signal.SIGTERM)
    gevent.sleep(delay_s)
    cluster.signal(ip, signal.SIGTERM)
    assert cluster.wait_for_exit(ip) == 0
    assert 'Traceback' not in _log(cluster, ip)


# Guards against a node that goes on after SIGTERM in its start, takes
# requests and is killed with them: its handler raised SystemExit, which is
# dropped at some places.
@pytest.mark.parametrize(
    'place',
    [
        'weak_reference',
        'destructor',
        'collection',
        'decoder',
        *(f'import:{number}' for number in range(1, 200, 33)),
    ],
)
def test_sigterm_at_any_place_of_the_start_ends_a_node(cluster, place):
    ip = cluster.ips[0]
    cluster.start(ip, program=(SIGNALLED_START, place))
    assert cluster.wait_for_exit(ip) == 0
    assert '"event":"stopped"' in _log(cluster, ip)
    assert '"event":"start"' not in _log(cluster, ip)
    assert 'Traceback' not in _log(cluster, ip)


def test_sigterm_while_the_settings_are_awaited_ends_a_node(cluster):
    ip = cluster.ips[0]
    cluster.start(ip, settings_share=0.5)
    cluster.wait_until(
        lambda: '"event":"settings_unusable"' in _log(cluster, ip),
        'the log does not report the settings file',
    )
    cluster.signal(ip, signal.SIGTERM)
    assert cluster.wait_for_exit(ip) == 0


def test_sigterm_while_an_address_is_awaited_ends_a_node(cluster):
    ip = cluster.ips[0]
    with socket.create_server((ip, deployment.CLIENT_PORT)):
        cluster.start(ip)
        cluster.wait_until(
            lambda: '"event":"address_taken"' in _log(cluster, ip),
            'the log does not report the address',
        )
        cluster.signal(ip, signal.SIGTERM)
        assert cluster.wait_for_exit(ip) == 0
    assert '"event":"start"' not in _log(cluster, ip)


# Guards against a node that ends by a second SIGTERM while it exits.
def test_second_sigterm_does_not_change_the_exit_status(cluster):
    ip = cluster.ips[0]
    cluster.start(ip, program=(SIGNALLED_START, 'teardown'))
    cluster.wait_until(lambda: cluster.is_ready(ip), 'node is not ready')
    cluster.signal(ip, signal.SIGTERM)
    assert cluster.wait_for_exit(ip) == 0


# Guards against a node that ends as another program has the port of its
# metrics, which are not needed to serve.
def test_taken_metrics_port_does_not_end_a_node(cluster):
    ip = cluster.ips[0]
    with socket.create_server((ip, METRICS_PORT)):
        cluster.start_all()
        # The node learns the targets of others some seconds after its start.
        cluster.wait_until(
            lambda: _serves(cluster, ip), 'no payment was answered with 200'
        )
        assert 'Traceback' not in _log(cluster, ip)
        assert '"event":"metrics_unavailable"' in _log(cluster, ip)
    cluster.wait_until(
        lambda: '"event":"metrics_available"' in _log(cluster, ip),
        'metrics are not served',
    )
    assert cluster.dump_state(ip)


# Guards against a node that ends as another program has the first port of its
# range.
def test_node_takes_another_port_of_its_range(cluster):
    ip = cluster.ips[1]
    with socket.create_server((ip, FIRST_PEER_PORT)):
        cluster.start_all()
        cluster.wait_until_targets_are_known()
        cluster.wait_until(
            lambda: _serves(cluster, cluster.ips[0]),
            'no payment was answered with 200',
        )
        assert 'Traceback' not in _log(cluster, ip)


# Guards against a node that sends requests to the address that another one had
# before its restart.
def test_node_that_restarts_at_another_port_replaces_its_record(cluster):
    cluster.start_all()
    cluster.wait_until_targets_are_known()
    ip = cluster.ips[1]
    cluster.signal(ip, signal.SIGKILL)
    cluster.wait_for_exit(ip)
    with socket.create_server((ip, FIRST_PEER_PORT)):
        cluster.start(ip)
        cluster.wait_until(lambda: cluster.is_ready(ip), 'not ready')
        for entry in cluster.ips:
            cluster.wait_until(
                lambda entry=entry: _serves(cluster, entry),
                f'no payment at {entry} was answered with 200',
            )
            records = cluster.dump_state(entry)['targets']
            ready = [r for r in records if r[1] == cluster.target(ip).instance]
            assert [r[5] for r in ready].count('ready') == 1


# Guards against a node that ends as an address is released a moment later.
@pytest.mark.parametrize(
    'port',
    [
        deployment.CLIENT_PORT,
        deployment.READY_PORT,
        deployment.CONTROL_PORT,
    ],
)
def test_node_waits_for_an_address_that_is_taken(cluster, port):
    ip = cluster.ips[0]
    with socket.create_server((ip, port)):
        cluster.start(ip)
        cluster.wait_until(
            lambda: '"event":"address_taken"' in _log(cluster, ip),
            'the log does not report the address',
        )
    cluster.wait_until(lambda: cluster.is_ready(ip), 'node is not ready')


def test_address_that_stays_taken_is_an_error_of_one_line(cluster):
    ip = cluster.ips[0]
    with socket.create_server((ip, deployment.CLIENT_PORT)):
        cluster.start(ip)
        assert cluster.wait_for_exit(ip) == 1
    last_line = _log(cluster, ip).rstrip().rpartition('\n')[2]
    assert f'{ip}:{deployment.CLIENT_PORT}' in last_line
    assert 'Traceback' not in _log(cluster, ip)


# Guards against a node that ends as it starts without standard output or
# error, and against lines of the log that are sent to other processes, as a
# socket has the number.
@pytest.mark.parametrize('closed', [(0,), (1,), (2,), (0, 1, 2)])
def test_node_without_standard_descriptors_serves(cluster, closed):
    ip = cluster.ips[0]
    cluster.start(cluster.ips[1])
    cluster.start(ip, closed=closed)
    cluster.wait_until(
        lambda: _serves(cluster, ip), 'no payment was answered with 200'
    )
    for number in closed:
        path = pathlib.Path(f'/proc/{cluster.pid(ip)}/fd/{number}')
        assert str(path.readlink()) == '/dev/null'
    cluster.signal(ip, signal.SIGTERM)
    assert cluster.wait_for_exit(ip) == 0


# Guards against a limit that an operator has changed and that is not followed.
def test_changed_settings_are_taken_or_named(cluster):
    ip = cluster.ips[0]
    cluster.start(ip)
    cluster.wait_until(lambda: cluster.is_ready(ip), 'node is not ready')
    path = cluster.write_settings(ip)
    text = path.read_text().replace('bounds.grace_s=4', 'bounds.grace_s=3')
    path.write_text(text.replace('zone=a', 'zone=b'))
    cluster.signal(ip, signal.SIGHUP)
    cluster.wait_until(
        lambda: '"taken":["grace_s"]' in _log(cluster, ip),
        'the grace time is not taken',
    )
    assert '"not_taken":["failure_domain"]' in _log(cluster, ip)


# Guards against a node that ends as its settings file is being written.
def test_settings_file_that_is_half_written_is_read_again(cluster):
    ip = cluster.ips[0]
    cluster.start(ip, settings_share=0.5)
    cluster.wait_until(
        lambda: '"event":"settings_unusable"' in _log(cluster, ip),
        'the log does not report the settings file',
    )
    cluster.write_settings(ip)
    cluster.wait_until(lambda: cluster.is_ready(ip), 'node is not ready')


def test_settings_that_stay_unusable_are_an_error_of_one_line(cluster):
    ip = cluster.ips[0]
    cluster.start(ip, settings_share=0.5)
    assert cluster.wait_for_exit(ip) == 1
    last_line = _log(cluster, ip).rstrip().rpartition('\n')[2]
    assert last_line.startswith('ROSEMARYCRANK_CONFIG: ')
    assert 'Traceback' not in _log(cluster, ip)
