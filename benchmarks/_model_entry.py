"""Entry node in the simulation of overload control."""

import random

from benchmarks import _model_calls
from benchmarks import _model_settings
from rosemarycrank import kernel

Outcome = _model_calls.Outcome


class EntryNode:
    """Sends calls to targets, with early refusals and retries.

    Parameters
    ----------
    model : Model
        The simulation.
    """

    def __init__(self, model):
        self.model = model
        self.balancer = kernel.create(
            'balancing',
            model.variant.balancer,
            failure_domain='fd-a',
            random=random.Random(model.rng.random()),
        )
        self.budget = model.variant.make_budget()

    def call(self, call):
        """Send the first attempt of a call, unless it is shed early.

        It is shed if all targets would probably refuse it.

        Parameters
        ----------
        call : Call
            The call.
        """
        now = self.model.clock.now
        request = call.request
        wait_s = self.balancer.shed_retry_after_s(
            call.service, request.rank, request.shed_hash, now
        )
        if wait_s:
            self.model.tally.early_refusals += 1
            self._finish_call(call, Outcome.REFUSED, wait_s)
            return
        self.budget.deposit(call.service, now)
        self._send(call)

    def _send(self, call):
        now = self.model.clock.now
        target = self.balancer.choose(
            self.model.targets_by_service[call.service],
            call.request.rank,
            call.excluded,
            now,
        )
        if target is None:
            self._finish_call(
                call,
                Outcome.REFUSED,
                _model_settings.NO_TARGET_RETRY_AFTER_S,
            )
            return
        self.balancer.record_sent(target, now)
        call.attempt = self._make_attempt(call, target)
        self.model.clock.schedule(
            _model_settings.LINK_LATENCY_S,
            call.attempt.target_node.receive,
            call.attempt,
        )

    def _make_attempt(self, call, target):
        clock = self.model.clock
        sent_at = clock.now
        return _model_calls.Attempt(
            f'a{next(self.model.attempt_numbers)}',
            call.request,
            self.model.target_nodes_by_address[target.address],
            call.deadline,
            lambda *reply: clock.schedule(
                _model_settings.LINK_LATENCY_S,
                self._on_reply,
                call,
                target,
                sent_at,
                *reply,
            ),
        )

    def _on_reply(self, call, target, sent_at, outcome, reply):
        now = self.model.clock.now
        self.balancer.record_finished(target, now - sent_at, reply, now)
        if call.finished:
            return
        if outcome is Outcome.REFUSED and not reply.upstream_reached:
            call.excluded.add(target.address)
            if self._spend_retry(call):
                self._send(call)
                return
        self._finish_call(call, outcome, reply.retry_after_s)

    def _spend_retry(self, call):
        now = self.model.clock.now
        if call.request.allowance <= 0:
            return False
        if not self.budget.spend(call.service, now):
            return False
        call.request.allowance -= 1
        self.model.tally.retries += 1
        return True

    def _finish_call(self, call, outcome, retry_after_s):
        if not call.finished:
            call.finished = True
            call.on_finished(outcome, retry_after_s)
