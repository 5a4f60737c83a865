"""Notices that are published when a record changes."""

from rosemarycrank.membership import _base
from rosemarycrank.membership import _messages
from rosemarycrank.membership import _table


def publish_up(context, record):
    """Publish that a node is considered running.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    record : Record
        Record of the node.
    """
    context.publish(
        _base.MemberUp(
            record.address, record.incarnation, record.failure_domain
        )
    )


def publish_failed(context, record):
    """Publish that a node is considered failed.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    record : Record
        Record of the node.
    """
    context.publish(_base.MemberFailed(record.address, record.incarnation))


def publish_change(context, previous, record):
    """Publish the notices that follow from a new record of an address.

    Parameters
    ----------
    context : rosemarycrank.kernel.Context
        Context of the kernel.
    previous : Record or None
        Record that was replaced; None if there was none.
    record : Record
        New record.
    """
    was_up = previous is not None and _table.is_up(previous)
    same_incarnation = was_up and previous.incarnation == record.incarnation
    if was_up and not same_incarnation:
        publish_failed(context, previous)
    if _table.is_up(record):
        if not same_incarnation:
            publish_up(context, record)
    elif same_incarnation and record.status is _messages.Status.LEFT:
        context.publish(_base.MemberLeft(record.address, record.incarnation))
    elif same_incarnation:
        publish_failed(context, record)
