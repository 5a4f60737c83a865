"""Construction of a node's kernel from its settings."""

import secrets

from rosemarycrank import admission
from rosemarycrank import balancing
from rosemarycrank import bundles
from rosemarycrank import calls
from rosemarycrank import kernel
from rosemarycrank import ledger
from rosemarycrank import membership
from rosemarycrank import retry

#: Packages whose plug-ins are registered when the package is imported.
PLUGIN_PACKAGES = (admission, balancing, ledger, retry)


def build_kernel(settings, cluster_key, trusted_keys, now, incarnation=0):
    """Construct the kernel of a node.

    Parameters
    ----------
    settings : rosemarycrank.settings.NodeSettings
        Checked settings.
    cluster_key : bytes
        Key shared by all nodes.
    trusted_keys : rosemarycrank.keys.TrustedKeys
        Keys whose signatures on bundles are accepted.
    now : float
        Current time in seconds of the clock that will drive the kernel.
    incarnation : int, default=0
        Number that identifies this run of the node; 0 draws a random one.

    Returns
    -------
    rosemarycrank.kernel.Kernel
        The kernel, with all components attached.

    Raises
    ------
    ValueError
        If the settings name a plug-in that is not registered.
    """
    context = kernel.Context(
        settings.address,
        incarnation or secrets.randbits(63) | 1,
        settings.seed or secrets.randbits(63),
    )
    # Components start timers when they are attached. If the kernel's clock
    # were still 0, all timers would be overdue at the first event and fire
    # at once, without their jitter.
    context.timers.advance(now)
    directory = membership.GossipDirectory(
        failure_domain=settings.failure_domain,
        region=settings.region,
        seeds=settings.seeds,
    )
    bundle_holder = bundles.BundleHolder(
        directory=directory,
        trusted_keys=trusted_keys,
        poll_period_s=settings.bundle_poll_s,
    )
    key_ledger = kernel.create(
        'ledger', settings.ledger, key_secret=cluster_key
    )
    target_calls = calls.TargetCalls(
        failure_domain=settings.failure_domain,
        directory=directory,
        controller=kernel.create('admission', settings.admission),
        bundle_holder=bundle_holder,
    )
    entry_calls = _create_entry_calls(
        settings, context, directory, bundle_holder, target_calls
    )
    client_requests = calls.ClientRequests(
        bundle_holder=bundle_holder,
        key_ledger=key_ledger,
        target_calls=target_calls,
        entry_calls=entry_calls,
    )
    drained_components = (
        target_calls,
        client_requests,
        entry_calls,
        key_ledger,
    )
    lifecycle = calls.Lifecycle(
        directory, target_calls, drained_components, settings.grace_s
    )
    return kernel.Kernel(
        context,
        (
            directory,
            bundle_holder,
            key_ledger,
            target_calls,
            client_requests,
            entry_calls,
            lifecycle,
        ),
    )


def _create_entry_calls(
    settings, context, directory, bundle_holder, target_calls
):
    balancer = kernel.create(
        'balancing',
        settings.balancing,
        failure_domain=settings.failure_domain,
        random=context.random,
    )
    return calls.EntryCalls(
        directory=directory,
        balancer=balancer,
        budget=kernel.create('retry', settings.retry),
        bundle_holder=bundle_holder,
        target_calls=target_calls,
        attempt_timeout_s=settings.attempt_timeout_s,
    )
