"""State of a request from its arrival to its response."""

import attrs


@attrs.define(eq=False, slots=True)
class Exchange:
    """A request from a client or the local target, and its response.

    Attributes
    ----------
    request_id : bytes
        Request identifier set by the sender; empty if missing.
    connection : ClientConnection or None
        Connection on which the response is written; None once it has it.
    keep_alive : bool
        Whether the connection may carry another request.
    message : Message or None
        The parsed request; None once the response is set.
    arrived_at, deadline_at : float
        Arrival time and deadline, in seconds of the node's clock.
    route : Route or None
        The matching route; None until the request is routed.
    service : str
        Service to which the request is sent.
    head : bytes
        Request line and headers as they are forwarded.
    response : bytes or None
        The encoded response, without a body that is a part by itself; None
        while the request is in flight.
    response_body : bytes
        Body of the response, if it is not in `response`.
    attempt_number : int
        Number of the attempt in flight; 0 if there is none.
    peer : object
        Peer to which the newest attempt was sent.
    instance : str
        Target to which the newest attempt was sent.
    sent_at : float
        When the newest attempt was sent, in seconds of the node's clock.
    tried_nodes : list of str
        Nodes to which the request was sent, in order.
    gone_nodes : set of str
        Nodes among them whose targets have turned out to be unavailable.
    deliveries : int
        Number of attempts that may have reached a target.
    may_have_run : bool
        Whether a target may have run the request.
    from_target : bool
        Whether the local target sent the request as a call that it makes
        while it runs another request.
    rank : float
        Urgency; 0 is the most urgent. The priority of the route or, for a
        call of the local target, the rank of the request for which it is
        made.
    refused_for_s : float
        Time for which the request is refused because targets have crashed
        under it, in seconds; otherwise 0.
    digest : int
        Digest by which repeats of the request are recognised; 0 until it is
        routed.
    """

    request_id: bytes
    connection: object
    keep_alive: bool
    message: object
    arrived_at: float
    deadline_at: float = 0.0
    route: object = None
    service: str = ''
    head: bytes = b''
    response: object = None
    response_body: bytes = b''
    attempt_number: int = 0
    peer: object = None
    instance: str = ''
    sent_at: float = 0.0
    tried_nodes: list = attrs.field(factory=list)
    gone_nodes: set = attrs.field(factory=set)
    deliveries: int = 0
    may_have_run: bool = False
    from_target: bool = False
    rank: float = 0.0
    refused_for_s: float = 0.0
    digest: int = 0
