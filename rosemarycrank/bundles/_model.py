"""Content of a bundle, and the constraints on its parts."""

import fnmatch
import typing

import attrs

from rosemarycrank import settings

METHODS = ('*', 'DELETE', 'GET', 'HEAD', 'OPTIONS', 'PATCH', 'POST', 'PUT')
MAX_RANK = 255
MAX_ALLOWANCE = 16


@attrs.frozen
class RequestClass:
    """A class of requests.

    Attributes
    ----------
    name : str
        Name of the class, for example ``'renewal'``.
    rank : int
        Order of shedding; 0 is shed last.
    idempotent : bool
        Whether a request may run more than once.
    allowance : int
        Retries that one client request may spend in the whole call graph.
    deadline_s : float
        Deadline of requests that bring none, and the longest accepted.
    """

    name: str
    rank: int
    idempotent: bool = True
    allowance: int = 2
    deadline_s: float = 5.0


@attrs.frozen
class Rule:
    """Puts requests into a class; the first rule that matches decides.

    ``method`` is an HTTP method or ``'*'``; ``path`` a shell-style pattern.
    """

    service: str
    class_name: str
    method: str = '*'
    path: str = '*'

    constraints: typing.ClassVar[dict] = {
        'service': settings.NAME,
        'class_name': settings.NAME,
        'method': settings.Options(METHODS),
        'path': settings.Text(
            r'[/*]\S{0,255}', 'a pattern that starts with / or *'
        ),
    }

    def matches(self, service, method, path):
        """Return whether the rule applies to a request."""
        return (
            self.service == service
            and self.method in ('*', method)
            and fnmatch.fnmatchcase(path, self.path)
        )


@attrs.frozen
class UpstreamGroup:
    """Upstreams of one service that a partner runs.

    Attributes
    ----------
    service : str
        Service that they serve.
    failure_domain : str
        Failure domain of their VMs; empty when they run in several.
    targets : int
        How many there are.
    slots : int
        Slots of each; 0 when not known.
    connections : int
        Connections that each accepts; 0 when not known.
    """

    service: str
    failure_domain: str = ''
    targets: int = 1
    slots: int = 0
    connections: int = 0

    constraints: typing.ClassVar[dict] = {
        'service': settings.NAME,
        'failure_domain': settings.NAME,
        'targets': settings.Interval(int, 1, 100_000),
        'slots': settings.Interval(int, 0, 100_000),
        'connections': settings.Interval(int, 0, 1_000_000),
    }


@attrs.frozen
class Partner:
    """A firm that runs upstreams; ``ended`` once it has left."""

    name: str
    ended: bool = False
    upstreams: tuple[UpstreamGroup, ...] = ()


@attrs.frozen
class Policy:
    """Tuning that operators roll out with a bundle.

    ``goodput_weight`` in [0, 1] moves between goodput (1) and recovery
    time (0) under overload.
    """

    goodput_weight: float = 0.5
    max_depth: int = 8
    max_body_bytes: int = 1_048_576

    constraints: typing.ClassVar[dict] = {
        'goodput_weight': settings.Interval(float, 0.0, 1.0),
        'max_depth': settings.Interval(int, 1, 32),
        'max_body_bytes': settings.Interval(int, 1, 64 * 1024 * 1024, 'bytes'),
    }


def _group_by_service(bundle):
    rules_by_service = {}
    for rule in bundle.rules:
        rules_by_service.setdefault(rule.service, []).append(rule)
    return rules_by_service


@attrs.frozen
class Bundle:
    """A versioned bundle.

    Attributes
    ----------
    name : str
        Name of the organisation's bundle line.
    version : int
        Grows by 1 with each roll-out.
    classes_by_name : dict of str to RequestClass
        Classes of requests.
    rules : tuple of Rule
        Rules; their order matters among the rules of one service.
    services : tuple of str
        Names of the services.
    partners_by_name : dict of str to Partner
        Partners that run upstreams.
    policy : Policy
        Tuning.
    """

    name: str
    version: int
    classes_by_name: dict
    rules: tuple
    services: tuple
    partners_by_name: dict = attrs.field(factory=dict)
    policy: Policy = Policy()
    # Every request is classified, so the rules are indexed once.
    _rules_by_service: dict = attrs.field(
        init=False,
        repr=False,
        eq=False,
        default=attrs.Factory(_group_by_service, takes_self=True),
    )

    def classify(self, service, method, path):
        """Return the class of a request.

        Parameters
        ----------
        service : str
            Name of the service.
        method : str
            HTTP method in upper case.
        path : str
            Path within the service, with its leading slash.

        Returns
        -------
        RequestClass or None
            None if the service is not in the bundle or no rule matches.
        """
        for rule in self._rules_by_service.get(service, ()):
            if rule.matches(service, method, path):
                return self.classes_by_name[rule.class_name]
        return None

    def has_partner_left(self, partner):
        """Return whether a partner has left.

        Parameters
        ----------
        partner : str
            Name of the partner; unknown names have not left.

        Returns
        -------
        bool
            True once it has left.
        """
        known = self.partners_by_name.get(partner)
        return known is not None and known.ended


@attrs.frozen
class BundleAccepted:
    """Notice: a newer bundle is in force at this node."""

    bundle: Bundle
