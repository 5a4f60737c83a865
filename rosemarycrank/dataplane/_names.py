"""Names of the HTTP headers that the data path reads and sets."""

import attrs


@attrs.frozen
class HeaderNames:
    """Names of HTTP headers, in lower case.

    The defaults are the names of the product's own interface; adapters for
    other platforms replace them.

    Attributes
    ----------
    request_id : bytes
        Identifier of the request, one for each send of a client; the target
        echoes it.
    deadline_ms : bytes
        Time that the sender waits for the response, in milliseconds.
    expected_instance : bytes
        The only target that may run the request.
    instance : bytes
        Target that sends the response.
    caller_service : bytes
        Service on the VM whose node received the request from its caller.
    not_executed : bytes
        Present in the response to a request that was not executed.
    signature : bytes
        Signature of the response, present if the target itself created it.
    rate_limit : bytes
        Requests per second that the target takes from all nodes together.
    leaving : bytes
        ``1`` in the responses of a target that is leaving.
    """

    request_id: bytes = b'rosemarycrank-request-id'
    deadline_ms: bytes = b'rosemarycrank-deadline-ms'
    expected_instance: bytes = b'rosemarycrank-expected-instance'
    instance: bytes = b'rosemarycrank-instance'
    caller_service: bytes = b'rosemarycrank-caller-service'
    not_executed: bytes = b'rosemarycrank-not-executed'
    signature: bytes = b'rosemarycrank-signature'
    rate_limit: bytes = b'rosemarycrank-rate-limit'
    leaving: bytes = b'rosemarycrank-leaving'

    def set_by_nodes(self):
        """Return the headers that nodes set themselves.

        Their values in a request are not forwarded to the target.
        """
        return frozenset(
            (self.deadline_ms, self.expected_instance, self.caller_service)
        )
