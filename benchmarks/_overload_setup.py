"""Deployment, bundle and load of the overload benchmark."""

import attrs
import msgspec

from benchmarks import _deployment

CHAIN = ('front', 'middle', 'inner', 'leaf')
DOMAINS = ('domain-a', 'domain-b', 'domain-c')
PARTNER_BY_DOMAIN = {
    'domain-a': 'partner-one',
    'domain-b': 'partner-one',
    'domain-c': 'partner-two',
}
SLOTS_BY_SERVICE = {'front': 24, 'middle': 20, 'inner': 16, 'leaf': 5}
MEDIAN_MS_BY_SERVICE = {
    'front': 3.0,
    'middle': 3.0,
    'inner': 3.0,
    'leaf': 144.0,
}
#: Mean over median of the log-normal service times, sigma 0.3.
MEAN_OVER_MEDIAN = 1.046
#: Client requests per second that the leaf can serve.
CAPACITY = (
    len(DOMAINS)
    * SLOTS_BY_SERVICE['leaf']
    / (MEDIAN_MS_BY_SERVICE['leaf'] * MEAN_OVER_MEDIAN / 1000)
)
SHARE_BY_CLASS = {
    'renewal': 0.1,
    'calendar': 0.15,
    'roster': 0.3,
    'back-issue': 0.45,
}
BASE_LOAD = 0.7
SURGE_LOAD = 3.0
DEADLINE_MS = 1000
#: Half is lent on at each hop, so 2 are left for calls of the leaf.
ALLOWANCE = 16


@attrs.frozen
class Variant:
    """A way to control overload, as names of plug-ins."""

    name: str
    admission: str
    balancing: str
    retry: str

    def node_settings(self):
        """Return the settings of all nodes."""
        return {
            'admission': self.admission,
            'balancing': self.balancing,
            'retry': self.retry,
            'log_level': 'WARNING',
        }


VARIANTS = (
    Variant('pass-through', 'pass-through', 'random', 'unlimited'),
    Variant('static-limit', 'static-limit', 'random', 'unlimited'),
    Variant('adaptive', 'adaptive', 'local-first', 'token-bucket'),
)


def bundle(version=1, ended=()):
    """Return the bundle's content.

    Parameters
    ----------
    version : int
        Its version.
    ended : collection of str
        Partners that have left.

    Returns
    -------
    bytes
        YAML.
    """
    classes = {
        name: {
            'rank': rank,
            'allowance': ALLOWANCE,
            'deadline_s': 5.0,
        }
        for rank, name in enumerate(SHARE_BY_CLASS)
    }
    rules = [
        {'service': service, 'path': f'/{name}/*', 'class_name': name}
        for service in CHAIN
        for name in SHARE_BY_CLASS
    ]
    partners = {}
    for domain, partner in PARTNER_BY_DOMAIN.items():
        entry = partners.setdefault(
            partner, {'upstreams': [], 'ended': partner in ended}
        )
        entry['upstreams'] += [
            {
                'service': service,
                'failure_domain': domain,
                'slots': SLOTS_BY_SERVICE[service],
                'connections': 250,
            }
            for service in CHAIN
        ]
    return msgspec.yaml.encode(
        {
            'name': 'overload',
            'version': version,
            'classes': classes,
            'services': list(CHAIN),
            'rules': rules,
            'partners': partners,
        }
    )


def plans(seed, behaviour=None):
    """Return the targets: each service once in each failure domain.

    Parameters
    ----------
    seed : int
        Seed of the service times.
    behaviour : dict, optional
        Switches of all upstreams.

    Returns
    -------
    list of TargetPlan
        The plans.
    """
    return [
        _deployment.TargetPlan(
            service=service,
            failure_domain=domain,
            partner=PARTNER_BY_DOMAIN[domain],
            slots=SLOTS_BY_SERVICE[service],
            max_connections=250,
            settings={
                'seed': seed * 100 + number,
                'service_time': {'median_ms': MEDIAN_MS_BY_SERVICE[service]},
                'routes': _routes(service),
                'behaviour': behaviour or {},
            },
        )
        for number, (service, domain) in enumerate(
            (service, domain) for service in CHAIN for domain in DOMAINS
        )
    ]


def load(seed, times):
    """Return the scenario of the load driver.

    Parameters
    ----------
    seed : int
        Seed of the arrivals.
    times : Times
        When load changes.

    Returns
    -------
    bytes
        YAML.
    """
    return msgspec.yaml.encode(
        {
            'duration_s': times.end_s,
            'seed': seed,
            'ask_later': False,
            'requests': [
                {
                    'name': name,
                    'service': CHAIN[0],
                    'path': f'/{name}/{{nonce}}',
                    'rate': share * BASE_LOAD * CAPACITY,
                    'deadline_ms': DEADLINE_MS,
                    'retries': 'hard',
                }
                for name, share in SHARE_BY_CLASS.items()
            ],
            'phases': [
                {
                    'start_s': times.trigger_s,
                    'end_s': times.trigger_end_s,
                    'factor': times.factor,
                }
            ],
        }
    )


def _routes(service):
    place = CHAIN.index(service)
    if place + 1 == len(CHAIN):
        return []
    return [
        {
            'path': f'/{name}/*',
            'calls': [
                {'service': CHAIN[place + 1], 'path': f'/{name}/{{nonce}}'}
            ],
        }
        for name in SHARE_BY_CLASS
    ]
