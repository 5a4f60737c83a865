"""A paid order runs twice as its target leaves and another client gives up."""

import asyncio
import collections
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'rig-3'))

import fleet  # noqa: E402

#: Slots of a target, the smallest number of the site, and how many of them the
#: node uses.
SLOTS = 29
USED_SLOTS = 27

#: Work of the three kinds of requests, in seconds.
WORK_S_BY_KIND = {'report': 2.5, 'status': 0.05, 'order': 0.1}
DEADLINE_MS = 5000

#: Requests that a client sends behind each other: long ones for all slots, and
#: others. Orders, of which some are sent after each of the latter.
PIPELINED = 32
ORDERS = 15
ORDERS_PER_STATUS = 3

#: Time from the acknowledged leaving of the target until the client leaves.
GIVE_UP_AFTER_S = 0.83

#: Releases in one run: a new target starts, and the old one leaves.
RELEASES = 5

#: Machines that have the target in turn.
MACHINES = 5

ROUTES = [
    {
        'name': f'{kind}-route',
        'path_prefix': f'/{kind}/',
        'route_type': 'non_idempotent' if kind == 'order' else 'idempotent',
        'service': 'orders',
        'max_attempts': 2,
        'timeout_s': 5.0,
    }
    for kind in WORK_S_BY_KIND
]


class Fleet(fleet.Fleet):
    """Fleet whose targets take orders and answer questions about them."""

    def work_s(self, request):
        return WORK_S_BY_KIND[request['path'].split('/')[1]]


async def warm_up(deployment, ips):
    """Have the targets run requests of the short kinds."""
    for _ in range(10):
        await asyncio.gather(
            *(
                deployment.request(
                    ip, 'POST', '/order/warm', DEADLINE_MS, b'o'
                )
                for ip in ips
            ),
            *(
                deployment.request(ip, 'GET', '/status/warm', DEADLINE_MS)
                for ip in ips
            ),
        )


async def release(deployment, old_ip, new_ip, entry_ip):
    """Replace a target while requests wait for it.

    Returns
    -------
    list of tuple of (str, int)
        Identifiers and statuses of the orders.
    """
    old, new = deployment.targets[old_ip], deployment.targets[new_ip]
    await warm_up(deployment, (old_ip, entry_ip))
    client = fleet.ClientConnection(deployment, old_ip)
    await client.open()
    opened_at = time.monotonic()
    for number in range(USED_SLOTS):
        client.send('GET', f'/report/{number}', DEADLINE_MS)
    await asyncio.sleep(0.1)
    orders = []
    for number in range(ORDERS):
        if number % ORDERS_PER_STATUS == 0:
            client.send('GET', f'/status/{number}', DEADLINE_MS)
        await asyncio.sleep(0.004)
        orders.append(
            asyncio.create_task(
                deployment.request(
                    entry_ip, 'POST', f'/order/{number}', DEADLINE_MS, b'paid'
                )
            )
        )
        await asyncio.sleep(0.004)
    await asyncio.sleep(0.05)
    await new.start()
    await asyncio.sleep(0.25)
    old.state = 'draining'
    status = await old.report()
    left_at = time.monotonic()
    deployment.record.write('leaving', ip=old_ip, status=status)
    if fleet.has_trouble():
        await asyncio.sleep(GIVE_UP_AFTER_S)
        deployment.record.write(
            'client-leaves',
            node=old_ip,
            waiting=len(client.waiting),
            after_s=round(time.monotonic() - opened_at, 3),
        )
        client.close()
    answers = await asyncio.gather(*orders)
    await asyncio.sleep(max(0.0, left_at + 3.0 - time.monotonic()))
    client.close()
    old.crash('drained')
    await asyncio.sleep(0.5)
    return [(request_id, status) for request_id, status, _, _ in answers]


async def case():
    """Return whether the rule was broken."""
    deployment = Fleet(FOLDER, ['orders'] * MACHINES + ['gallery'], SLOTS)
    *ips, entry_ip = deployment.ips
    orders = []
    try:
        await deployment.start(ROUTES, [ips[0], entry_ip])
        await asyncio.sleep(4.0)
        for number in range(RELEASES):
            old_ip = ips[number % MACHINES]
            new_ip = ips[(number + 1) % MACHINES]
            orders += await release(deployment, old_ip, new_ip, entry_ip)
        runs = collections.Counter(
            request_id
            for target in deployment.targets.values()
            for _, request_id, _ in target.runs
        )
        twice = [r for r, _ in orders if runs[r] > 1]
        refused = [r for r, status in orders if status == 503 and runs[r]]
        for name, ids in (('twice', twice), ('refused', refused)):
            deployment.record.write(name, ids=','.join(ids) or 'none')
        statuses = collections.Counter(status for _, status in orders)
        print(
            f'{len(orders)} orders, statuses {dict(statuses)}; ran twice: '
            f'{len(twice)}; answered 503 and run: {len(refused)}'
        )
        return bool(twice or refused)
    finally:
        await deployment.close()


if __name__ == '__main__':
    sys.exit(asyncio.run(fleet.run_case(case)))
