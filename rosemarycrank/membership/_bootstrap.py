"""Initial contacts from the seed settings and the platform's table."""

import logging

from rosemarycrank import addresses
from rosemarycrank import kernel
from rosemarycrank.membership import _messages
from rosemarycrank import table_service

SEED_TABLE = 'seeds'
MIN_RETRY_S = 1.0
MAX_RETRY_S = 20.0
BRIDGE_LIST_PERIOD_S = 300.0

LOG = logging.getLogger(__name__)


class Bootstrap:
    """Finds nodes to join through, and publishes the bridge nodes.

    The platform's table only provides initial contacts. Membership does not
    wait for it and keeps working while the platform is unavailable.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    settings : GossipDirectory
        Directory whose constructor parameters are the settings.
    is_known : callable
        Takes an address, returns whether that node is considered running.
    """

    def __init__(self, context, settings, is_known):
        self.context = context
        self.settings = settings
        self._is_known = is_known
        self._retry_s = MIN_RETRY_S
        self._next_join_at = 0.0
        self._next_list_at = context.now + context.random.uniform(1.0, 3.0)
        self._operation_count = 0
        self._pending_operation_id = ''
        self._row_key = ''

    def tick(self, now, own_record, alone, bridges):
        """Join through the seeds and read the platform's table when due.

        Only bridge nodes, and nodes that know no other running node of
        their failure domain, do so.

        Parameters
        ----------
        now : float
            Current time in seconds.
        own_record : Record
            Record of this node.
        alone : bool
            Whether this node knows no other running node of its failure
            domain.
        bridges : sequence of str
            Addresses of the bridge nodes of this failure domain, in order
            of rank.
        """
        is_bridge = self.context.address in bridges
        if not alone and not is_bridge:
            self._retry_s = MIN_RETRY_S
            return
        if now >= self._next_join_at:
            self._join_seeds(now, own_record)
        if is_bridge:
            rank = bridges.index(self.context.address)
            self._row_key = f'{self.settings.failure_domain}.{rank}'
        if now >= self._next_list_at:
            self._list_seeds(now, alone)

    def on_platform_reply(self, reply, own_record):
        """Join through the listed nodes, and update this node's row.

        Parameters
        ----------
        reply : rosemarycrank.kernel.PlatformReply
            Reply of the platform; ignored unless it answers the latest
            listing of the seed table.
        own_record : Record
            Record of this node.
        """
        if (
            not self._pending_operation_id
            or reply.operation_id != self._pending_operation_id
        ):
            return
        self._pending_operation_id = ''
        if reply.error or not isinstance(reply.value, (list, tuple)):
            return
        for row in reply.value:
            self._join_listed(row, own_record)
        if self._row_key:
            self._write_row(reply.value, own_record)

    def _join_listed(self, row, own_record):
        """Join through the node of a row, unless another writer wrote it."""
        try:
            address = row.value['address']
            addresses.parse(address)
        except (KeyError, TypeError, ValueError) as error:
            self.context.count('membership_invalid_seeds')
            LOG.warning(
                'invalid row of the seed table ignored',
                extra={'key': row.key, 'error': repr(error)},
            )
            return
        if address != own_record.address and not self._is_known(address):
            self.context.send(address, _messages.Join(own_record))

    def _join_seeds(self, now, own_record):
        jitter = self.context.random.uniform(0.5, 1.5)
        self._next_join_at = now + self._retry_s * jitter
        self._retry_s = min(self._retry_s * 2, MAX_RETRY_S)
        for address in self.settings.seeds:
            if address != own_record.address and not self._is_known(address):
                self.context.send(address, _messages.Join(own_record))

    def _list_seeds(self, now, alone):
        period_s = MAX_RETRY_S if alone else BRIDGE_LIST_PERIOD_S
        jitter = self.context.random.uniform(0.5, 1.5)
        self._next_list_at = now + period_s * jitter
        self._pending_operation_id = self._request(
            table_service.TableList(SEED_TABLE)
        )

    def _write_row(self, rows, own_record):
        value = {
            'address': own_record.address,
            'failure_domain': own_record.failure_domain,
        }
        row = next((r for r in rows if r.key == self._row_key), None)
        if row is not None and row.value == value:
            return
        write_id = (
            f'membership-{own_record.incarnation:016x}'
            f'-{self._operation_count + 1}'
        )
        self._request(
            table_service.TableWrite(
                SEED_TABLE,
                self._row_key,
                value,
                0 if row is None else row.version,
                write_id,
            )
        )

    def _request(self, operation):
        self._operation_count += 1
        operation_id = (
            f'membership-{self.context.incarnation:016x}'
            f'-{self._operation_count}'
        )
        self.context.emit(kernel.PlatformRequest(operation_id, operation))
        return operation_id
