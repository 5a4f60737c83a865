"""Comparison and averaging of reported costs of routes."""

#: Weight of one node's report in the known costs of its service.
REPORT_WEIGHT = 0.3

#: A change of a cost is significant if it exceeds the sum of a share of the
#: old cost and a number of calls.
SIGNIFICANT_CHANGE_SHARE = 0.3
SIGNIFICANT_CHANGE_CALLS = 0.3


def differ_significantly(new, old):
    """Return whether new costs of a route differ from old ones beyond noise.

    Parameters
    ----------
    new, old : dict of str to float
        Calls by service.
    """
    for service in new.keys() | old.keys():
        new_calls, old_calls = new.get(service, 0.0), old.get(service, 0.0)
        if (
            abs(new_calls - old_calls)
            > SIGNIFICANT_CHANGE_CALLS + SIGNIFICANT_CHANGE_SHARE * old_calls
        ):
            return True
    return False


def average_report(known, reported):
    """Update the known costs of a route with a report, as receivers do.

    Parameters
    ----------
    known : dict of str to float
        Calls by service; updated in place.
    reported : dict of str to float
        Calls by service.
    """
    for service in known.keys() | reported.keys():
        old_calls = known.get(service, 0.0)
        known[service] = old_calls + REPORT_WEIGHT * (
            reported.get(service, 0.0) - old_calls
        )
