"""Names of the platform's header fields, paths and tables."""

from rosemarycrank import dataplane

HEADERS = dataplane.HeaderNames(
    request_id=b'x-rosemarycrank-request-id',
    deadline_ms=b'x-rosemarycrank-deadline-ms',
    expected_instance=b'x-rosemarycrank-target-instance',
    instance=b'x-rosemarycrank-instance-id',
    caller_service=b'x-rosemarycrank-caller-service',
    not_executed=b'x-rosemarycrank-not-executed',
    signature=b'x-rosemarycrank-response-signature',
    rate_limit=b'server-limit',
    leaving=b'server-leaving',
)

READY_PATH = b'/rosemarycrank/ready'
INSTANCES_PREFIX = b'/rosemarycrank/instances/'

#: Table and key of the row with the operator's configuration.
OPERATOR_TABLE = 'op'
CONFIGURATION_KEY = 'config'

#: Tables in which the nodes publish their targets and store the costs of
#: requests. The platform does not prescribe these names.
TARGETS_TABLE = 'targets'
COSTS_TABLE = 'costs'

#: Header field in which the store counts its returns from an older copy.
STORE_ERA_HEADER = b'store-era'

#: Environment variable with the path of the settings file.
SETTINGS_VARIABLE = 'ROSEMARYCRANK_CONFIG'
