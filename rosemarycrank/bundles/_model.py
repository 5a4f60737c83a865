"""Data model of a bundle, and the constraints on its fields."""

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
        Order of load shedding; classes with a higher rank are shed first,
        rank 0 last.
    idempotent : bool
        Whether a request may run more than once.
    allowance : int
        Retries that one client request may use in the whole call graph.
    deadline_s : float
        Deadline of requests that set none, and the longest deadline that
        requests may set, in seconds.
    """

    name: str
    rank: int
    idempotent: bool = True
    allowance: int = 2
    deadline_s: float = 5.0


@attrs.frozen
class Rule:
    """Rule that assigns requests to a class; the first match applies.

    Attributes
    ----------
    service : str
        Service of the requests.
    class_name : str
        Name of the class that the requests are assigned to.
    method : str
        HTTP method, or ``'*'`` for all.
    path : str
        Shell-style pattern that the path must match.
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
        """Return whether the rule matches a request."""
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
        Service that the upstreams serve.
    failure_domain : str
        Failure domain of the VMs; empty if they are in several.
    targets : int
        Number of upstreams.
    slots : int
        Slots of each upstream; 0 if unknown.
    connections : int
        Connections that each upstream accepts; 0 if unknown.
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
    """A company that runs upstreams; ``ended`` is True once it has left."""

    name: str
    ended: bool = False
    upstreams: tuple[UpstreamGroup, ...] = ()


@attrs.frozen
class Policy:
    """Tuning parameters that operators roll out with a bundle.

    Attributes
    ----------
    goodput_weight : float
        Trade-off under overload, from 0 (shortest recovery time) to 1
        (highest goodput).
    max_depth : int
        Maximum depth of nested calls below a client request.
    max_body_bytes : int
        Maximum length of a request body, in bytes.
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
        Name shared by all versions of the bundle.
    version : int
        Version; each roll-out increments it by 1.
    classes_by_name : dict of str to RequestClass
        Request classes.
    rules : tuple of Rule
        Rules; the order matters only among the rules of one service.
    services : tuple of str
        Names of the services.
    partners_by_name : dict of str to Partner
        Partners that run upstreams.
    policy : Policy
        Tuning parameters.
    """

    name: str
    version: int
    classes_by_name: dict
    rules: tuple
    services: tuple
    partners_by_name: dict = attrs.field(factory=dict)
    policy: Policy = Policy()
    # Index of the rules: `classify` runs for every request.
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
            Name of the partner.

        Returns
        -------
        bool
            True if the partner has left; False if it has not, or if the
            bundle does not contain it.
        """
        entry = self.partners_by_name.get(partner)
        return entry is not None and entry.ended


@attrs.frozen
class BundleAccepted:
    """Published within the node when a newer bundle comes into force."""

    bundle: Bundle
