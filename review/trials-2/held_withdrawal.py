"""A withdrawal that comes while the first heartbeat of its target is held.

A trial of the second review, not one of its cases (REPORT-2.md says why). It
prints what it sees and exits like the cases; TROUBLE=0 leaves the store up.
"""

import asyncio
import pathlib
import signal
import sys
import tempfile
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'rig-2'))

import rig  # noqa: E402

DRAIN_S = 2.0
CONTACT_S = 3.0
GRACE_S = 6.0
#: Time after which the target withdraws, in seconds after its first
#: heartbeat; then those after its acknowledgement at which the store answers
#: again, the clients send, and the target ends.
WITHDRAWN_AFTER_S = 1.0
STORE_BACK_S = 0.7
SENT_FROM_S = STORE_BACK_S + CONTACT_S + 0.3
ENDS_S = 6.0
CLIENTS = 8
SLOTS = 3
WORK_S = 0.3


async def replace(deployment, place, target):
    """Replace a target and its node, as a release does; return the target."""
    target.beats.cancel()
    target.state = 'draining'
    target.is_leaving = True
    await target.report()
    await asyncio.sleep(DRAIN_S + 0.8)
    await target.report('DELETE', {'born': target.born})
    await target.stop()
    if rig.has_trouble():
        deployment.store.mode = 'silent'
    place.signal(signal.SIGTERM)
    if not await place.wait_for_exit(GRACE_S):
        raise rig.CannotRun('the node did not stop')
    place.start()
    await asyncio.sleep(0.3)
    target = rig.Target(place, target.service, SLOTS, WORK_S)
    deployment.targets.append(target)
    await target.start()
    return target


async def play(deployment):
    """Play the trial; return the broken rules."""
    await deployment.start(['front', 'orders', 'orders'])
    entry, place = deployment.places[:2]
    for target in deployment.targets:
        target.slots, target.work_s = SLOTS, WORK_S
    deployment.configure(1, [('pay', 'orders', 'non_idempotent', {})])
    await deployment.start_nodes()
    await asyncio.sleep(CONTACT_S + 1.0)
    target = await replace(deployment, place, deployment.targets[1])
    await asyncio.sleep(WITHDRAWN_AFTER_S)
    target.beats.cancel()
    target.is_leaving = True
    if await target.report('DELETE', {'born': target.born}) != 200:
        raise rig.CannotRun('the withdrawal is not acknowledged')
    acknowledged_at = time.monotonic()
    await asyncio.sleep(STORE_BACK_S)
    deployment.store.mode = 'up'
    await asyncio.sleep(SENT_FROM_S - STORE_BACK_S)

    async def send(client):
        number = 0
        while time.monotonic() < acknowledged_at + ENDS_S - 1.0:
            number += 1
            await entry.request(f'q{client}-{number}', '/pay/1', 'POST')

    await asyncio.gather(*[send(client) for client in range(CLIENTS)])
    late = [
        f'{name} {at - acknowledged_at:.2f} s'
        for at, name, _ in target.runs
        if at > acknowledged_at + DRAIN_S
    ]
    if not late:
        return []
    return [
        'DRAIN: reached the target later than drain_s after the '
        f'acknowledgement: {", ".join(late)}'
    ]


if __name__ == '__main__':
    with tempfile.NamedTemporaryFile(suffix='.txt') as record:
        rig.main(record.name, play)
