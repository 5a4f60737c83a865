"""First contacts: seeds from the settings, then the platform's table."""

from rosemarycrank import kernel
from rosemarycrank.membership import _messages
from rosemarycrank import table_service

TABLE = 'seeds'
FIRST_RETRY_S = 1.0
LAST_RETRY_S = 20.0
BRIDGE_PERIOD_S = 300.0


class Bootstrap:
    """Finds nodes to join through, and lists bridge nodes for others.

    The platform's table only seeds: nothing that works without it waits
    for it.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    settings : GossipDirectory
        Holder of the constructor parameters.
    is_known : callable
        Takes an address, returns whether that node is taken to run.
    """

    def __init__(self, context, settings, is_known):
        self.context = context
        self.settings = settings
        self._is_known = is_known
        self._retry_s = FIRST_RETRY_S
        self._next_join_at = 0.0
        self._next_list_at = context.now + context.random.uniform(1.0, 3.0)
        self._operations = 0
        self._pending = ''
        self._slot = ''

    def tick(self, now, own, alone, bridges):
        """Do what is due.

        Parameters
        ----------
        now : float
            Current time in seconds.
        own : Record
            This node's record.
        alone : bool
            Whether no other node of the own domain is known to run.
        bridges : sequence of str
            Bridge nodes of the own domain.
        """
        is_bridge = self.context.address in bridges
        if not alone and not is_bridge:
            self._retry_s = FIRST_RETRY_S
            return
        if now >= self._next_join_at:
            self._join_seeds(now, own)
        if is_bridge:
            rank = bridges.index(self.context.address)
            self._slot = f'{self.settings.failure_domain}.{rank}'
        if now >= self._next_list_at:
            self._list(now, alone)

    def on_platform_reply(self, reply, own):
        """Handle the platform's answer to an operation of this part.

        Parameters
        ----------
        reply : rosemarycrank.kernel.PlatformReply
            The answer; others' answers are ignored.
        own : Record
            This node's record.
        """
        if not self._pending or reply.operation_id != self._pending:
            return
        self._pending = ''
        if reply.error or not isinstance(reply.value, (list, tuple)):
            return
        for row in reply.value:
            address = row.value.get('address', '')
            if address and address != own.address:
                if not self._is_known(address):
                    self.context.send(address, _messages.Join(own))
        if self._slot:
            self._write_slot(reply.value, own)

    def _join_seeds(self, now, own):
        jitter = self.context.random.uniform(0.5, 1.5)
        self._next_join_at = now + self._retry_s * jitter
        self._retry_s = min(self._retry_s * 2, LAST_RETRY_S)
        for address in self.settings.seeds:
            if address != own.address and not self._is_known(address):
                self.context.send(address, _messages.Join(own))

    def _list(self, now, alone):
        period_s = LAST_RETRY_S if alone else BRIDGE_PERIOD_S
        jitter = self.context.random.uniform(0.5, 1.5)
        self._next_list_at = now + period_s * jitter
        self._pending = self._request(table_service.TableList(TABLE))

    def _write_slot(self, rows, own):
        value = {
            'address': own.address,
            'failure_domain': own.failure_domain,
        }
        row = next((r for r in rows if r.key == self._slot), None)
        if row is not None and row.value == value:
            return
        write_id = f'membership-{own.incarnation:016x}-{self._operations + 1}'
        self._request(
            table_service.TableWrite(
                TABLE,
                self._slot,
                value,
                0 if row is None else row.version,
                write_id,
            )
        )

    def _request(self, operation):
        self._operations += 1
        operation_id = (
            f'membership-{self.context.incarnation:016x}-{self._operations}'
        )
        self.context.emit(kernel.PlatformRequest(operation_id, operation))
        return operation_id
