"""Names of the header fields that the data path reads and sets."""

import attrs


@attrs.frozen
class HeaderNames:
    """Header names, in lower case; the defaults are the product's own.

    Attributes
    ----------
    request_id : bytes
        Identifier of one attempt of a client.
    deadline_ms : bytes
        Milliseconds that the sender will wait.
    expected_instance : bytes
        Target that alone may run the request.
    instance : bytes
        Target that answers.
    caller_service : bytes
        Service on the VM where the request began.
    not_executed : bytes
        Present in an answer to a request that did not run.
    signature : bytes
        Proof that an answer is the target's own.
    """

    request_id: bytes = b'rosemarycrank-request-id'
    deadline_ms: bytes = b'rosemarycrank-deadline-ms'
    expected_instance: bytes = b'rosemarycrank-expected-instance'
    instance: bytes = b'rosemarycrank-instance'
    caller_service: bytes = b'rosemarycrank-caller-service'
    not_executed: bytes = b'rosemarycrank-not-executed'
    signature: bytes = b'rosemarycrank-signature'

    def reserved(self):
        """Return the names that are dropped from what clients send."""
        return frozenset(
            (self.deadline_ms, self.expected_instance, self.caller_service)
        )
