"""Generates target plans, bundles and load of the overload benchmark."""

import attrs
import msgspec

from benchmarks import _deployment

CHAIN = ('front', 'middle', 'inner', 'leaf')
FAILURE_DOMAINS = ('domain-a', 'domain-b', 'domain-c')
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
#: Ratio of mean to median of log-normal service times with sigma 0.3.
MEAN_TO_MEDIAN_RATIO = 1.046
#: Client requests per second that the leaf can serve.
CAPACITY_PER_S = (
    len(FAILURE_DOMAINS)
    * SLOTS_BY_SERVICE['leaf']
    / (MEDIAN_MS_BY_SERVICE['leaf'] * MEAN_TO_MEDIAN_RATIO / 1000)
)
SHARE_BY_CLASS = {
    'renewal': 0.1,
    'calendar': 0.15,
    'roster': 0.3,
    'back-issue': 0.45,
}
#: Offered load over `CAPACITY_PER_S`, outside and during the surge.
BASE_LOAD = 0.7
SURGE_LOAD = 3.0
DEADLINE_MS = 1000
#: Retries that nodes may spend on a request. Each hop delegates half of its
#: allowance, so 2 remain for calls of the leaf.
ALLOWANCE = 16


@attrs.frozen
class Variant:
    """Configuration of the overload control, as names of plug-ins."""

    name: str
    admission: str
    balancing: str
    retry: str

    def node_settings(self):
        """Return the settings that all nodes have in common."""
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


def encode_bundle(version=1, ended_partners=()):
    """Return the content of a bundle of the overload benchmark.

    Parameters
    ----------
    version : int
        Version of the bundle.
    ended_partners : collection of str
        Names of the partners that have left.

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
        content = partners.setdefault(
            partner, {'upstreams': [], 'ended': partner in ended_partners}
        )
        content['upstreams'] += [
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


def make_target_plans(seed, behaviour=None):
    """Return plans with one target per service and failure domain.

    Parameters
    ----------
    seed : int
        Seed of the service times.
    behaviour : dict, optional
        Behaviour settings of all upstream stand-ins.

    Returns
    -------
    list of TargetPlan
        Plans of the targets.
    """
    return [
        _deployment.TargetPlan(
            service=service,
            failure_domain=domain,
            partner=PARTNER_BY_DOMAIN[domain],
            slots=SLOTS_BY_SERVICE[service],
            max_connections=250,
            settings={
                'seed': seed * 100 + target_index,
                'service_time': {'median_ms': MEDIAN_MS_BY_SERVICE[service]},
                'routes': _routes(service),
                'behaviour': behaviour or {},
            },
        )
        for target_index, (service, domain) in enumerate(
            (service, domain)
            for service in CHAIN
            for domain in FAILURE_DOMAINS
        )
    ]


def encode_load_settings(seed, times):
    """Return the settings file of the load generator.

    Parameters
    ----------
    seed : int
        Seed of the arrivals.
    times : Times
        Times at which the load changes and ends.

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
                    'rate': share * BASE_LOAD * CAPACITY_PER_S,
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
    index = CHAIN.index(service)
    if index + 1 == len(CHAIN):
        return []
    return [
        {
            'path': f'/{name}/*',
            'calls': [
                {'service': CHAIN[index + 1], 'path': f'/{name}/{{nonce}}'}
            ],
        }
        for name in SHARE_BY_CLASS
    ]
