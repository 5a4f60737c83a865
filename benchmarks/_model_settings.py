"""Call graph, load and times of the simulation of overload control."""

#: One-way latency between VMs in seconds.
LINK_LATENCY_S = 0.0005
#: Period at which queued tickets are checked against their deadlines.
EXPIRY_CHECK_INTERVAL_S = 0.01
TARGETS_PER_SERVICE = 3
CHAIN = ('front', 'middle', 'inner', 'leaf')
CALLEE_BY_SERVICE = dict(zip(CHAIN, CHAIN[1:]))
#: Mean service time without nested calls, in seconds, and slots of one target.
WORK_S_BY_SERVICE = {
    'front': 0.005,
    'middle': 0.005,
    'inner': 0.005,
    'leaf': 0.1,
}
SLOTS_BY_SERVICE = {'front': 40, 'middle': 30, 'inner': 24, 'leaf': 10}
#: Client requests per second that the leaf can serve.
CAPACITY_PER_S = (
    TARGETS_PER_SERVICE * SLOTS_BY_SERVICE['leaf'] / WORK_S_BY_SERVICE['leaf']
)
SHARE_BY_RANK = (0.1, 0.15, 0.3, 0.45)
CLIENT_DEADLINE_S = 1.0
CLIENT_ATTEMPTS = 4
CLIENT_BACKOFF_S = 0.02
#: Retries by nodes that are allowed for each send of a client request.
ALLOWANCE = 2
#: Retry-after time if no target is available, in seconds.
NO_TARGET_RETRY_AFTER_S = 0.5
#: Offered load over `CAPACITY_PER_S`, outside and during the surge.
BASE_LOAD = 0.7
SURGE_LOAD = 3.0
#: Time from which on requests count as served before the surge.
WARM_UP_END_S = 2.0
SURGE_START_S = 8.0
SURGE_END_S = 18.0
#: Time after the surge from which on requests count as served after it.
SETTLE_S = 2.0
END_S = 30.0
#: Time after `END_S` in which the last requests get their answers.
CLOSING_S = 4.0
#: Factor of the leaf's service time during the surge.
LEAF_SLOWDOWN_FACTOR = 2.0


def is_surge(now):
    """Return whether the surge is on at a virtual time in seconds."""
    return SURGE_START_S <= now < SURGE_END_S
