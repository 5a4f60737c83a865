"""Settings of the process of a node."""

import attrs

from rosemarycrank.dataplane import _node

#: Settings that take effect while the process runs.
CHANGEABLE = ('grace_s', 'drain_s', 'budget', 'max_memory_bytes')


@attrs.frozen
class ProcessSettings:
    """Settings of a node process.

    Attributes
    ----------
    node_name, failure_domain : str
        Name and failure domain of the VM.
    client_address : tuple of (str, int)
        Address for requests of clients and of the local target.
    ready_address : tuple of (str, int)
        Address for readiness probes.
    control_address : tuple of (str, int)
        Address for heartbeats of the local target.
    metrics_address : tuple of (str, int) or None
        Address for metrics and the state dump; None to disable both.
    peer_address : str
        ``host:port`` at which other nodes reach this one.
    peer_listen_address : tuple of (str, int)
        Address at which this node accepts connections of other nodes.
    target_address : tuple of (str, int)
        Address of the local target.
    service : str
        Service of the local target.
    grace_s : float
        Seconds from SIGTERM until the process is killed.
    drain_s : float
        Seconds for which a target serves after the node acknowledged that it
        is leaving.
    budget : RetryBudgetSettings
        Limit on retries.
    max_descriptors : int
        Number of descriptors that the process may open.
    max_memory_bytes : float
        Memory limit of the process.
    targets_table : str
        Table in which the nodes publish their targets.
    costs_table : str
        Table in which the costs of requests are stored.
    configuration_table, configuration_key : str
        Table and key of the row with the configuration.
    """

    node_name: str
    failure_domain: str
    client_address: tuple
    ready_address: tuple
    control_address: tuple
    metrics_address: object
    peer_address: str
    peer_listen_address: tuple
    target_address: tuple
    service: str
    grace_s: float
    drain_s: float
    budget: _node.RetryBudgetSettings
    max_descriptors: int
    max_memory_bytes: float
    targets_table: str
    costs_table: str
    configuration_table: str
    configuration_key: str
