"""Memory of nodes as real processes under all that others may send.

    python -m benchmarks.memory

prints, for each kind of bytes that could come without end, the most memory
that a node took, whether it was killed above its limit, and how the requests
of other clients fared: the share that was served, and the time of 99 in 100,
in ms, before and during the load. The figures are written as JSON.
"""

import functools
import json
import pathlib
import tempfile
import typing

import attrs
import gevent
import typer

from benchmarks import _memory_loads
from benchmarks import _memory_run
from rosemarycrank.platform import _settings

RESULTS = pathlib.Path(__file__).parent / 'results' / 'memory.json'

#: Share of the limit that a node may take, and the least share of the other
#: requests that are to be served.
MAX_MEMORY_SHARE = 0.9
MIN_SERVED_SHARE = 0.99

#: Times before a load, and for which its connections are kept, in seconds.
CALM_S = 1.5
KEPT_S = 3.0

#: Clients that send requests without end, or get such responses.
ENDLESS_CLIENTS = 64

#: Numbers of clients, and the bodies of each, in MB.
BODIES = ((1, 64), (4, 32), (8, 16), (16, 16), (64, 1), (64, 16), (64, 64))

MB = 1_000_000
BODY_PART_BYTES = 50_000

_CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'


@attrs.frozen
class Row:
    """One load.

    Attributes
    ----------
    name : str
        What is sent.
    make_load : callable
        Returns the load, for the address of a node.
    count : int
        Number of connections.
    """

    name: str
    make_load: object
    count: int


def _requests(name, head, part, count=ENDLESS_CLIENTS, part_count=None):
    load = functools.partial(
        _memory_loads.EndlessRequests,
        head=head,
        part=part,
        part_count=part_count,
    )
    return Row(name, load, count)


def _bodies(count, body_mb):
    body_bytes = body_mb * MB
    return _requests(
        f'{count} x {body_mb} MB',
        b'Content-Length: %d\r\n\r\n' % body_bytes,
        b'x' * BODY_PART_BYTES,
        count,
        body_bytes // BODY_PART_BYTES,
    )


def _responses(kind):
    load = functools.partial(
        _memory_loads.UnreadResponses, ahead=1, prefix=kind.encode()
    )
    return Row(f'response {kind}', load, ENDLESS_CLIENTS)


def _rows(seeds):
    """Return all rows; see the module."""
    chunks = [
        _requests(
            f'request chunks-{size}',
            _CHUNKED,
            b'%x\r\n%b\r\n' % (size, b'x' * size) * max(1, 65536 // size),
        )
        for size in (1, 4, 64, 65536)
    ]
    slow_readers = functools.partial(
        _memory_loads.UnreadResponses, ahead=32, prefix=b'middle'
    )
    kinds = [
        Row(kind.__name__, kind, 480)
        if kind is _memory_loads.UnreadResponses
        else Row(kind.__name__, kind, 3800)
        for kind in _memory_loads.KINDS
    ]
    mixed = [
        Row(
            f'Mixed {seed}',
            functools.partial(_memory_loads.Mixed, seed=seed),
            3400,
        )
        for seed in seeds
    ]
    return [
        _requests('request fields', b'', b'a: b\r\n' * 1000),
        _requests('request line', b'a: ', b'x' * 4096),
        *chunks,
        _requests(
            'request extensions', _CHUNKED, b'1;' + b'e' * 4096 + b'\r\nx\r\n'
        ),
        _requests(
            'request trailers',
            _CHUNKED + b'1\r\nx\r\n0\r\n',
            b't: u\r\n' * 1000,
        ),
        _requests(
            'request announced',
            b'Content-Length: 60000000\r\n\r\n',
            b'x' * 65536,
        ),
        *[_responses(kind) for kind in _memory_run.ENDLESS_RESPONSES],
        *[_bodies(count, body_mb) for count, body_mb in BODIES],
        Row('slow readers', slow_readers, 400),
        *kinds,
        *mixed,
    ]


def _p99_ms(times_s):
    return 1000.0 * sorted(times_s)[int(0.99 * len(times_s))]


def _play(row, number):
    """Return the figures of a row, from nodes that have just started."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = _memory_run.EndlessDeployment(
            pathlib.Path(folder), f'127.7.{number}', ['dues', 'archive']
        )
        try:
            _memory_run.start(cluster)
            calm = _memory_run.Watch(cluster)
            gevent.sleep(CALM_S)
            calm.end()
            watch = _memory_run.Watch(cluster)
            load = row.make_load(cluster.ips[0])
            try:
                load.run(row.count)
                gevent.sleep(KEPT_S)
                watch.end()
            finally:
                load.close()
        finally:
            cluster.close()
    return {
        'row': row.name,
        'count': row.count,
        'peak_mb': round(watch.peak_mb, 1),
        'killed': len(watch.killed),
        'served': round(watch.served_share(), 4),
        'calm_p99_ms': round(_p99_ms(calm.times_s), 1),
        'p99_ms': round(_p99_ms(watch.times_s), 1),
    }


def _is_met(figures):
    """Return whether a row meets the target, but for its times."""
    return (
        not figures['killed']
        and figures['peak_mb']
        <= MAX_MEMORY_SHARE * _settings.DEFAULT_MEMORY_MB
        and figures['served'] >= MIN_SERVED_SHARE
    )


def main(
    row: typing.Annotated[
        list[str], typer.Option(help='name of a row; default: all')
    ] = None,
    seed: typing.Annotated[
        list[int], typer.Option(help='seeds of the mixed kinds')
    ] = (1, 2, 3),
    out: typing.Annotated[pathlib.Path, typer.Option()] = RESULTS,
):
    """Play the rows, one after the other, and write the figures of all."""
    print(
        f'{"row":26}{"count":>6}{"peak MB":>9}{"killed":>8}{"served":>8}'
        f'{"calm p99":>10}{"p99":>9}'
    )
    runs = []
    for number, selected in enumerate(_rows(seed)):
        if row and selected.name not in row:
            continue
        figures = _play(selected, number + 1)
        runs.append(figures)
        mark = '' if _is_met(figures) else '  *'
        print(
            '{row:26}{count:6}{peak_mb:9.1f}{killed:8}{served:8.4f}'
            '{calm_p99_ms:10.1f}{p99_ms:9.1f}'.format(**figures)
            + mark,
            flush=True,
        )
        text = json.dumps(
            {'limit_mb': _settings.DEFAULT_MEMORY_MB, 'runs': runs}, indent=1
        )
        out.write_text(text + '\n')


if __name__ == '__main__':
    typer.run(main)
