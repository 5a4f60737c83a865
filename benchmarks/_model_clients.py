"""Clients in the simulation of overload control."""

from benchmarks import _model_calls
from benchmarks import _model_settings

Outcome = _model_calls.Outcome


class Clients:
    """Send requests at the offered load, and send failed ones again.

    Parameters
    ----------
    model : Model
        The simulation.
    entry_nodes : sequence of EntryNode
        Entry nodes that the clients use.

    Attributes
    ----------
    requests : list of Request
        Requests in the order in which they were created.
    """

    def __init__(self, model, entry_nodes):
        self.model = model
        self.entry_nodes = entry_nodes
        self.requests = []

    def start(self):
        """Start to send requests."""
        self.model.clock.schedule(0.0, self._add_request)

    def _add_request(self):
        clock, rng = self.model.clock, self.model.rng
        load = (
            _model_settings.SURGE_LOAD
            if _model_settings.is_surge(clock.now)
            else _model_settings.BASE_LOAD
        )
        clock.schedule(
            rng.expovariate(load * _model_settings.CAPACITY_PER_S),
            self._add_request,
        )
        if clock.now >= _model_settings.END_S:
            return
        rank = rng.choices(range(4), _model_settings.SHARE_BY_RANK)[0]
        request = _model_calls.Request(
            len(self.requests), rank, rng.random(), clock.now
        )
        self.requests.append(request)
        self._send(request)

    def _send(self, request):
        clock = self.model.clock
        request.sends += 1
        request.allowance = _model_settings.ALLOWANCE
        self.model.tally.start_send(request)
        entry_node = self.model.rng.choice(self.entry_nodes)
        call = _model_calls.Call(
            request,
            _model_settings.CHAIN[0],
            clock.now + _model_settings.CLIENT_DEADLINE_S,
            lambda *answer: self._on_answer(request, *answer),
        )
        clock.schedule(
            _model_settings.CLIENT_DEADLINE_S,
            self._on_client_timeout,
            request,
            call,
        )
        entry_node.call(call)

    def _on_client_timeout(self, request, call):
        if call.finished:
            return
        call.finished = True
        if self.model.variant.cancels_abandoned:
            call.cancel()
        self._on_answer(request, Outcome.LATE, 0.0)

    def _on_answer(self, request, outcome, retry_after_s):
        is_complete = outcome is Outcome.COMPLETE
        self.model.tally.end_send(request, is_complete, self.model.clock.now)
        if is_complete:
            request.completed = True
        elif request.sends < _model_settings.CLIENT_ATTEMPTS:
            self.model.clock.schedule(
                self._resend_delay_s(retry_after_s), self._send, request
            )

    def _resend_delay_s(self, retry_after_s):
        rng = self.model.rng
        delay_s = _model_settings.CLIENT_BACKOFF_S
        if rng.random() < self.model.variant.retry_after_share:
            delay_s += retry_after_s * rng.uniform(0.5, 1.5)
        return delay_s
