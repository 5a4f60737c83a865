"""Refusal of calls that would be shed further down the call graph."""

from rosemarycrank.calls import _path_levels
from rosemarycrank.calls import _refusals
from rosemarycrank import results


class EarlyRefusals:
    """Shedding thresholds as replies report them, and refusals by them.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    balancer : rosemarycrank.balancing.Balancer
        Balancer, which knows the thresholds of the targets themselves.
    bundle_holder : object
        Holder whose ``current`` is the bundle in force, or None.
    target_calls : TargetCalls
        Target side, which knows the attempts that make nested calls.
    """

    def __init__(self, context, balancer, bundle_holder, target_calls):
        self.context = context
        self.balancer = balancer
        self.bundle_holder = bundle_holder
        self.target_calls = target_calls
        self._downstream_thresholds = _path_levels.DownstreamThresholds()

    def dump(self):
        """Return the thresholds for the state dump."""
        return self._downstream_thresholds.dump()

    def retry_after_s(self, call):
        """Return a retry-after time if a call would be shed.

        Parameters
        ----------
        call : Call
            A call that has not been sent.

        Returns
        -------
        float
            Retry-after time in seconds; 0 if the call may be sent.
        """
        now = self.context.now
        retry_after_s = self.balancer.shed_retry_after_s(
            call.request.service,
            call.context.rank,
            call.context.shed_hash,
            now,
        )
        if retry_after_s > 0.0:
            return retry_after_s
        if self._downstream_thresholds.should_shed(
            call.threshold_key, call.shed_score, now, self.context.random
        ):
            self.context.count('entry.early_refusals_below')
            return _refusals.DEFAULT_RETRY_AFTER_S
        return 0.0

    def record_reply(self, call, reply):
        """Record the thresholds that a reply reports.

        Parameters
        ----------
        call : Call
            The call whose attempt got the reply.
        reply : rosemarycrank.messages.AttemptReply
            The reply.
        """
        classes = self.bundle_holder.current.classes_by_name.values()
        max_threshold = 1.0 + max(each.rank for each in classes)
        self._downstream_thresholds.update(
            call.threshold_key,
            reply.threshold_below,
            max_threshold,
            self.context.now,
        )
        target_threshold = reply.shed_rank + 1.0 - reply.shed_fraction
        call.threshold = min(target_threshold, reply.threshold_below)

    def record_early_refusal(self, call):
        """Lower the parent attempt's threshold as its call is refused early.

        Parameters
        ----------
        call : Call
            The refused call.
        """
        self._lower_parent_threshold(
            call,
            min(
                call.shed_score,
                self._downstream_thresholds.threshold(call.threshold_key),
            ),
        )

    def record_final_answer(self, call, result):
        """Lower the parent attempt's threshold to that of its call.

        Parameters
        ----------
        call : Call
            A call that gets its final answer.
        result : rosemarycrank.results.Result
            Result of the answer.
        """
        if result is results.Result.SHED:
            call.threshold = min(call.threshold, call.shed_score)
        self._lower_parent_threshold(call, call.threshold)

    def _lower_parent_threshold(self, call, threshold):
        parent = self.target_calls.find_running(call.parent_token)
        if parent is not None:
            parent.threshold_below = min(parent.threshold_below, threshold)
