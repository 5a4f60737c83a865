"""Refusals with a jittered retry-after time."""

from rosemarycrank import kernel

#: Retry-after time if no better value is known, in seconds.
DEFAULT_RETRY_AFTER_S = 1.0

#: Maximum jitter of the retry-after time, as a fraction of it. The jitter
#: keeps refused clients from all retrying at the same time.
RETRY_AFTER_JITTER = 0.5


def add_jitter(context, retry_after_s):
    """Return a retry-after time with jitter added to it.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context whose random source adds the jitter.
    retry_after_s : float
        Minimum retry-after time in seconds.

    Returns
    -------
    float
        Retry-after time in seconds.
    """
    return retry_after_s * (1.0 + RETRY_AFTER_JITTER * context.random.random())


def make_refusal(context, result, retry_after_s=DEFAULT_RETRY_AFTER_S):
    """Return a refusal with a jittered retry-after time.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context whose random source adds the jitter.
    result : rosemarycrank.results.Result
        Reason of the refusal.
    retry_after_s : float
        Minimum retry-after time in seconds; the jitter is added to it.

    Returns
    -------
    rosemarycrank.kernel.Answer
        The refusal.
    """
    return kernel.Answer(
        result, retry_after_s=add_jitter(context, retry_after_s)
    )
