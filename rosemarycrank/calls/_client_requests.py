"""Entry of requests from clients and from the local upstream."""

import itertools
import math

import attrs

from rosemarycrank.calls import _allowance
from rosemarycrank.calls import _call
from rosemarycrank.calls import _call_limits
from rosemarycrank.calls import _refusals
from rosemarycrank import kernel
from rosemarycrank import ledger
from rosemarycrank import results

#: Refusals that apply only to the current send of a request. An earlier send
#: of the same non-idempotent request may have run.
_PER_SEND_REFUSALS = frozenset(
    {
        results.Result.LEAVING,
        results.Result.NO_BUNDLE,
        results.Result.TOKEN_ENDED,
    }
)


class ClientRequests(kernel.Component):
    """Refuses a request, or starts a call for it with its call context.

    Parameters
    ----------
    bundle_holder : object
        Holder whose ``current`` is the bundle in force, or None.
    key_ledger : rosemarycrank.ledger.Ledger
        Runs non-idempotent requests at most once.
    target_calls : TargetCalls
        Target side, which knows the attempts that make nested calls.
    entry_calls : EntryCalls
        Entry side, which runs the calls.

    Attributes
    ----------
    keyed_waiting_ : int
        Number of keyed requests that wait for an answer of the ledger.
    """

    name = 'requests'
    handles = {
        kernel.ClientGone: '_on_client_gone',
        kernel.ClientRequest: '_on_client_request',
    }

    def __init__(self, bundle_holder, key_ledger, target_calls, entry_calls):
        self.bundle_holder = bundle_holder
        self.key_ledger = key_ledger
        self.target_calls = target_calls
        self.entry_calls = entry_calls
        self.draining_ = False
        self._calls_end_at = math.inf
        self.keyed_waiting_ = 0
        self._sequence = itertools.count(1)
        key_ledger.run = self._run_keyed

    def start_drain(self, times=None):
        self.draining_ = True
        if times is not None:
            self._calls_end_at = times.calls_end_at

    def is_idle(self):
        return self.keyed_waiting_ == 0

    def dump(self):
        return {
            'draining': self.draining_,
            'keyed_waiting': self.keyed_waiting_,
        }

    def _on_client_request(self, request):
        self.context.count('entry.requests')
        refusal = self._refusal_result(request)
        if refusal is None:
            self._dispatch(request)
        elif refusal in _PER_SEND_REFUSALS and self._may_be_keyed(request):
            self._refuse_keyed(request, refusal)
        else:
            self._reply(
                request.request_id,
                _refusals.make_refusal(self.context, refusal),
            )

    def _may_be_keyed(self, request):
        bundle = self.bundle_holder.current
        if not request.key or bundle is None:
            return bool(request.key)
        request_class = _classify(bundle, request)
        return request_class is not None and not request_class.idempotent

    def _refuse_keyed(self, request, refusal):
        """Refuse a send, or reply with the outcome of an earlier send."""
        self.keyed_waiting_ += 1

        def finish(answer):
            self.keyed_waiting_ -= 1
            if answer.result.outcome is results.Outcome.NOT_RUN:
                answer = _refusals.make_refusal(self.context, refusal)
            self._reply(request.request_id, answer)

        self.key_ledger.query(request.key, finish)

    def _refusal_result(self, request):
        bundle = self.bundle_holder.current
        if bundle is None:
            return results.Result.NO_BUNDLE
        if self._is_refused_by_drain(request):
            return results.Result.LEAVING
        if (
            request.token
            and self.target_calls.find_running(request.token) is None
        ):
            return results.Result.TOKEN_ENDED
        request_class = _classify(bundle, request)
        if request_class is None:
            return results.Result.UNKNOWN_SERVICE
        if len(request.body) > bundle.policy.max_body_bytes:
            return results.Result.BODY_TOO_LARGE
        if not request_class.idempotent and not request.key:
            return results.Result.KEY_REQUIRED
        return None

    def _is_refused_by_drain(self, request):
        if self.context.now >= self._calls_end_at:
            return True
        # Requests that run at the local upstream may need calls to finish.
        return self.draining_ and not request.token

    def _dispatch(self, request):
        bundle = self.bundle_holder.current
        request_class = _classify(bundle, request)
        limits = self._limits(request, request_class)
        if limits.context.depth > bundle.policy.max_depth:
            answer = _refusals.make_refusal(
                self.context, results.Result.TOO_DEEP
            )
            self._reply(request.request_id, answer)
        elif request_class.idempotent:
            self._start_call(request, request_class, limits)
        else:
            self._submit_keyed(request, limits)

    def _limits(self, request, request_class):
        now = self.context.now
        parent = self.target_calls.find_running(request.token)
        if parent is None:
            return _call_limits.limits_of_client_call(
                request, request_class, now
            )
        return _call_limits.limits_of_nested_call(
            request, request_class, parent, now
        )

    def _start_call(self, request, request_class, limits):
        self.entry_calls.start(
            _call.Call(
                request=request,
                idempotent=True,
                context=limits.context,
                deadline=limits.deadline,
                allowance=limits.allowance,
                finish=lambda answer: self._reply(request.request_id, answer),
                request_id=request.request_id,
                class_name=request_class.name,
                parent_token=request.token,
            )
        )

    def _submit_keyed(self, request, limits):
        # The key's owner runs the request and spends the delegated retries.
        allowance = limits.allowance
        delegated = (
            allowance.delegate_half()
            if request.token
            else allowance.delegate_all()
        )
        self.keyed_waiting_ += 1

        def finish(answer):
            self.keyed_waiting_ -= 1
            allowance.return_unspent(min(delegated, answer.allowance_left))
            self._reply(request.request_id, answer)

        self.key_ledger.submit(
            ledger.KeyedRequest(
                key=request.key,
                service=request.service,
                method=request.method,
                path=request.path,
                headers=request.headers,
                body=request.body,
                deadline=limits.deadline,
                context=attrs.evolve(limits.context, allowance=delegated),
            ),
            finish,
        )

    def _run_keyed(self, request, finish):
        """Run a keyed request whose key this node owns."""
        bundle = self.bundle_holder.current
        request_class = _classify(bundle, request) if bundle else None
        if request_class is None:
            result = (
                results.Result.UNKNOWN_SERVICE
                if bundle
                else results.Result.NO_BUNDLE
            )
            finish(_refusals.make_refusal(self.context, result))
            return
        number = next(self._sequence)
        self.entry_calls.start(
            _call.Call(
                request=request,
                idempotent=False,
                context=request.context,
                deadline=request.deadline,
                allowance=_allowance.Allowance(request.context.allowance),
                finish=finish,
                request_id=f'{self.context.incarnation:016x}-k{number}',
                class_name=request_class.name,
            )
        )

    def _on_client_gone(self, event):
        call = self.entry_calls.calls_by_request_id_.get(event.request_id)
        if call is not None and call.idempotent:
            self.entry_calls.cancel(call)

    def _reply(self, request_id, answer):
        self.context.count(f'entry.answers.{answer.result.name}')
        self.context.emit(kernel.Reply(request_id, answer))


def _classify(bundle, request):
    path = request.path.partition('?')[0]
    return bundle.classify(request.service, request.method, path)
