"""HTTP interface for operators, metrics and the local upstream."""

import hmac

import falcon

from rosemarycrank import addresses
from rosemarycrank import http_client
from rosemarycrank import kernel
from rosemarycrank.node import _metrics

#: Type and default of each field of an announcement. A field whose default is
#: None is required.
_ANNOUNCEMENT_FIELDS = {
    'service': (str, None),
    'address': (str, None),
    'partner': (str, ''),
    'slots': (int, 0),
    'max_connections': (int, 0),
}


class AdminApplication:
    """WSGI application of the admin address.

    Parameters
    ----------
    node : Node
        Node to administer.
    operator_tokens : tuple of str, default=()
        Bearer tokens that authenticate operators. If empty, operators need
        no token.
    """

    def __init__(self, node, operator_tokens=()):
        self.node = node
        self.operator_tokens = operator_tokens
        self.wsgi = falcon.App(middleware=_Authentication(operator_tokens))
        self.wsgi.add_route('/dump', _Dump(node))
        self.wsgi.add_route('/health', _Health(node))
        self.wsgi.add_route('/metrics', _Metrics(node))
        self.wsgi.add_route('/drain', _Drain(node))
        self.wsgi.add_route('/partners/{partner}/leave', _PartnerLeave(node))
        self.wsgi.add_route('/upstream/announce', _Announce(node))
        self.wsgi.add_route('/upstream/withdraw', _Withdraw(node))


class _Authentication:
    """Refuses requests to operators' resources without a valid token."""

    def __init__(self, operator_tokens):
        self._accepted_credentials = [
            http_client.bearer_credentials(token).encode()
            for token in operator_tokens
        ]

    def process_resource(self, req, resp, resource, params):
        if not self._accepted_credentials or not resource.for_operators:
            return
        credentials = (
            req.get_header(http_client.AUTHORIZATION_HEADER) or ''
        ).encode()
        # The comparison takes constant time, so that its duration does not
        # reveal how much of a token matches.
        matches = [
            hmac.compare_digest(credentials, accepted)
            for accepted in self._accepted_credentials
        ]
        if not any(matches):
            raise falcon.HTTPUnauthorized(
                description='operator token: missing or not valid',
                challenges=['Bearer'],
            )


class _Resource:
    # By default, a resource requires an operator token.
    for_operators = True

    def __init__(self, node):
        self.node = node


class _Dump(_Resource):
    def on_get(self, req, resp):
        resp.media = self.node.dump()


class _Health(_Resource):
    for_operators = False

    def on_get(self, req, resp):
        resp.media = {'healthy': True}


class _Metrics(_Resource):
    for_operators = False

    def on_get(self, req, resp):
        body, headers = _metrics.render(self.node.dump(), req.get_header)
        resp.data = body
        for name, value in headers.items():
            resp.set_header(name, value)


class _Drain(_Resource):
    def on_post(self, req, resp):
        stop = req.get_param_as_bool('stop', default=False)
        self.node.post(kernel.DrainRequested(stop=stop))
        resp.media = {'draining': True, 'stop': stop}


class _PartnerLeave(_Resource):
    def on_post(self, req, resp, partner):
        self.node.post(kernel.PartnerLeaveRequested(partner))
        resp.media = {'partner': partner, 'left': True}


class _Announce(_Resource):
    for_operators = False

    def on_post(self, req, resp):
        announcement = _read_announcement(
            req.get_media(default_when_empty=None)
        )
        self.node.handle_announcement(announcement)
        resp.media = {'announced': True}


class _Withdraw(_Resource):
    for_operators = False

    def on_post(self, req, resp):
        self.node.post(kernel.UpstreamWithdrawn())
        resp.media = {'announced': False}


def _read_announcement(media):
    if not isinstance(media, dict):
        raise _bad_request('announcement', media, 'a JSON object')
    unknown_names = sorted(set(media) - set(_ANNOUNCEMENT_FIELDS))
    if unknown_names:
        raise _bad_request(
            'announcement', unknown_names, sorted(_ANNOUNCEMENT_FIELDS)
        )
    values = {}
    for name, (expected_type, default) in _ANNOUNCEMENT_FIELDS.items():
        value = media.get(name, default)
        if type(value) is not expected_type:
            raise _bad_request(name, value, expected_type.__name__)
        values[name] = value
    try:
        addresses.parse(values['address'])
    except ValueError:
        raise _bad_request('address', values['address'], 'host:port') from None
    return kernel.UpstreamAnnounced(**values)


def _bad_request(parameter, value, allowed):
    return falcon.HTTPBadRequest(
        description=f'{parameter}: got {value!r}, allowed {allowed}'
    )
