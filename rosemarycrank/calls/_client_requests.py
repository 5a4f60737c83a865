"""Requests of clients and of the local upstream, on their way in."""

import hashlib
import itertools

import attrs

from rosemarycrank.calls import _allowance
from rosemarycrank.calls import _entry
from rosemarycrank import kernel
from rosemarycrank import ledger
from rosemarycrank import messages
from rosemarycrank import results

#: Refusals that speak of one send only: an earlier send of the same
#: non-idempotent request may have run.
_REFUSALS_OF_ONE_SEND = frozenset(
    {
        results.Result.LEAVING,
        results.Result.NO_BUNDLE,
        results.Result.TOKEN_ENDED,
    }
)


class ClientRequests(kernel.Component):
    """Gives each request its context, and has it called or refused.

    Parameters
    ----------
    bundle_holder : object
        Its ``current`` is the bundle in force, or None.
    key_ledger : rosemarycrank.ledger.Ledger
        Runs non-idempotent requests at most once.
    target_calls : TargetCalls
        Gives the context of nested calls.
    entry_calls : EntryCalls
        Makes the calls.

    Attributes
    ----------
    keyed_waiting_ : int
        Keyed requests that wait for the ledger.
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
        self.keyed_waiting_ = 0
        self._sequence = itertools.count(1)
        key_ledger.run = self._run_keyed

    def start_drain(self):
        self.draining_ = True

    def is_idle(self):
        return self.keyed_waiting_ == 0

    def dump(self):
        return {
            'draining': self.draining_,
            'keyed_waiting': self.keyed_waiting_,
        }

    def _on_client_request(self, request):
        self.context.count('entry.requests')
        refusal = self._refusal(request)
        if refusal is None:
            self._admit(request)
        elif refusal in _REFUSALS_OF_ONE_SEND and self._may_be_keyed(request):
            self._refuse_keyed(request, refusal)
        else:
            self._reply(
                request.request_id, _entry.refuse(self.context, refusal)
            )

    def _may_be_keyed(self, request):
        bundle = self.bundle_holder.current
        if not request.key or bundle is None:
            return bool(request.key)
        request_class = _classify(bundle, request)
        return request_class is not None and not request_class.idempotent

    def _refuse_keyed(self, request, refusal):
        """Refuse a send, or say what became of its key before."""
        self.keyed_waiting_ += 1

        def finish(answer):
            self.keyed_waiting_ -= 1
            if answer.result.outcome is results.Outcome.NOT_RUN:
                answer = _entry.refuse(self.context, refusal)
            self._reply(request.request_id, answer)

        self.key_ledger.query(request.key, finish)

    def _refusal(self, request):
        bundle = self.bundle_holder.current
        if bundle is None:
            return results.Result.NO_BUNDLE
        if self.draining_ and not request.token:
            return results.Result.LEAVING
        if request.token and self.target_calls.running(request.token) is None:
            return results.Result.TOKEN_ENDED
        request_class = _classify(bundle, request)
        if request_class is None:
            return results.Result.UNKNOWN_SERVICE
        if len(request.body) > bundle.policy.max_body_bytes:
            return results.Result.BODY_TOO_LARGE
        if not request_class.idempotent and not request.key:
            return results.Result.KEY_REQUIRED
        return None

    def _admit(self, request):
        bundle = self.bundle_holder.current
        request_class = _classify(bundle, request)
        deadline = self.context.now + min(
            request_class.deadline_s,
            request.deadline_s or request_class.deadline_s,
        )
        parent = self.target_calls.running(request.token)
        if parent is None:
            allowance = _allowance.Allowance(request_class.allowance)
            context = messages.CallContext(
                rank=request_class.rank,
                shed_hash=_shed_hash(request),
                depth=0,
            )
        else:
            deadline = min(deadline, parent.ticket.deadline)
            allowance = parent.allowance
            # A call for an important request is as important as that.
            context = messages.CallContext(
                rank=min(request_class.rank, parent.ticket.rank),
                shed_hash=parent.ticket.shed_hash,
                depth=parent.message.context.depth + 1,
            )
        if context.depth > bundle.policy.max_depth:
            answer = _entry.refuse(self.context, results.Result.TOO_DEEP)
            self._reply(request.request_id, answer)
            return
        if not request_class.idempotent:
            self._submit_keyed(request, context, deadline, allowance)
            return
        self.entry_calls.start(
            _entry.Call(
                request=request,
                idempotent=True,
                context=context,
                deadline=deadline,
                allowance=allowance,
                finish=lambda answer: self._reply(request.request_id, answer),
                request_id=request.request_id,
                class_name=request_class.name,
                parent_token=request.token,
            )
        )

    def _submit_keyed(self, request, context, deadline, allowance):
        # The owner runs the request and spends what it is lent.
        lent = allowance.lend() if request.token else allowance.lend_all()
        self.keyed_waiting_ += 1

        def finish(answer):
            self.keyed_waiting_ -= 1
            allowance.give_back(min(lent, answer.allowance_left))
            self._reply(request.request_id, answer)

        self.key_ledger.submit(
            ledger.KeyedRequest(
                key=request.key,
                service=request.service,
                method=request.method,
                path=request.path,
                headers=request.headers,
                body=request.body,
                deadline=deadline,
                context=attrs.evolve(context, allowance=lent),
            ),
            finish,
        )

    def _run_keyed(self, request, finish):
        """Run a keyed request whose owner is this node."""
        bundle = self.bundle_holder.current
        request_class = _classify(bundle, request) if bundle else None
        if request_class is None:
            result = (
                results.Result.UNKNOWN_SERVICE
                if bundle
                else results.Result.NO_BUNDLE
            )
            finish(_entry.refuse(self.context, result))
            return
        number = next(self._sequence)
        self.entry_calls.start(
            _entry.Call(
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


def _shed_hash(request):
    """Return a stable number in [0, 1) for a client request."""
    identity = request.key or request.request_id
    digest = hashlib.blake2b(identity.encode(), digest_size=8).digest()
    return int.from_bytes(digest) / 2.0**64
