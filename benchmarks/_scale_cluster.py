"""Clusters of simulated nodes in one or several failure domains."""

from benchmarks import _scale_network

DEFAULT_SERVICE_COUNT = 80
CALLED_SERVICES_PER_NODE = 4


def address(domain, number):
    """Return the address of a node, similar in length to a real one."""
    return f'10.{domain}.{number // 250}.{number % 250}:7400'


def domain_name(domain):
    """Return the name of a failure domain."""
    return f'domain-{domain:02d}'


def service_name(number):
    """Return the name of a service."""
    return f'service-{number:04d}'


class Cluster:
    """Failure domains of equal size on one simulated network.

    Parameters
    ----------
    domains : int
        Number of failure domains.
    nodes : int
        Number of nodes in each domain.
    seed : int
        Seed of all random choices.
    loss : float, default=0.0
        Fraction of messages that are lost.
    services : int, default=DEFAULT_SERVICE_COUNT
        Number of services. They are assigned to the nodes of a domain round
        robin; all domains serve the same services.
    """

    def __init__(
        self, domains, nodes, seed, loss=0.0, services=DEFAULT_SERVICE_COUNT
    ):
        self.domains = domains
        self.nodes = nodes
        self.services = services
        self.network = _scale_network.Network(seed=seed, loss=loss)
        self.seeds = tuple(
            address(domain, number)
            for domain in range(domains)
            for number in range(min(2, nodes))
        )

    def start(self, domain, number, **parameters):
        """Start one node and announce a target at it."""
        member = self.network.start(
            address(domain, number),
            domain_name(domain),
            seeds=self.seeds,
            **parameters,
        )
        member.announce(
            service_name(number % self.services), partner='north', slots=110
        )
        return member

    def start_all(self, duration_s):
        """Start all nodes in random order, spread over ``duration_s``."""
        numbers = [
            (domain, number)
            for domain in range(self.domains)
            for number in range(self.nodes)
        ]
        self.network.random.shuffle(numbers)
        for domain, number in numbers:
            self.start(domain, number)
            self.network.run(duration_s / len(numbers))

    def call_services(self):
        """Let each node look up the targets of a few random services."""
        for member in self.network.by_address.values():
            for _ in range(CALLED_SERVICES_PER_NODE):
                number = self.network.random.randrange(self.services)
                member.directory.targets(service_name(number))

    def members_of(self, domain):
        """Return the running members of a domain."""
        name = domain_name(domain)
        return [
            member
            for member in self.network.by_address.values()
            if member.directory.failure_domain == name
        ]

    def domain_complete(self, domain):
        """Return whether each node of a domain lists all of its nodes."""
        members = self.members_of(domain)
        return all(
            len(member.directory.members()) == len(members)
            for member in members
        )

    def served_service(self, target_address):
        """Return the service of the target at a node."""
        member = self.network.by_address[target_address]
        return next(
            service_name(number)
            for number in range(self.services)
            if target_address in member.target_addresses(service_name(number))
        )

    def random_address(self):
        """Return the address of a running node that is not a seed."""
        candidates = sorted(set(self.network.by_address) - set(self.seeds))
        return self.network.random.choice(candidates)
