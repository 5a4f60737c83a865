"""HTTP interface for operators, metrics and the local upstream."""

import falcon

from rosemarycrank import kernel
from rosemarycrank.node import _metrics

#: Fields of an announcement: name to type and default.
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
        The node that it serves.
    """

    def __init__(self, node):
        self.node = node
        self.wsgi = falcon.App()
        self.wsgi.add_route('/dump', _Dump(node))
        self.wsgi.add_route('/health', _Health(node))
        self.wsgi.add_route('/metrics', _Metrics(node))
        self.wsgi.add_route('/drain', _Drain(node))
        self.wsgi.add_route('/partners/{partner}/leave', _PartnerLeave(node))
        self.wsgi.add_route('/upstream/announce', _Announce(node))
        self.wsgi.add_route('/upstream/withdraw', _Withdraw(node))


class _Resource:
    def __init__(self, node):
        self.node = node


class _Dump(_Resource):
    def on_get(self, req, resp):
        resp.media = self.node.dump()


class _Health(_Resource):
    def on_get(self, req, resp):
        resp.media = {'healthy': True}


class _Metrics(_Resource):
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
    def on_post(self, req, resp):
        announced = _read_announcement(req.get_media(default_when_empty=None))
        self.node.upstream_announced(announced)
        resp.media = {'announced': True}


class _Withdraw(_Resource):
    def on_post(self, req, resp):
        self.node.post(kernel.UpstreamWithdrawn())
        resp.media = {'announced': False}


def _read_announcement(media):
    if not isinstance(media, dict):
        raise _bad('announcement', media, 'a JSON object')
    unknown = sorted(set(media) - set(_ANNOUNCEMENT_FIELDS))
    if unknown:
        raise _bad('announcement', unknown, sorted(_ANNOUNCEMENT_FIELDS))
    values = {}
    for name, (kind, default) in _ANNOUNCEMENT_FIELDS.items():
        value = media.get(name, default)
        if type(value) is not kind:
            raise _bad(name, value, kind.__name__)
        values[name] = value
    host, _, port = values['address'].rpartition(':')
    if not host or not port.isdigit():
        raise _bad('address', values['address'], 'host:port')
    return kernel.UpstreamAnnounced(**values)


def _bad(parameter, value, allowed):
    return falcon.HTTPBadRequest(
        description=f'{parameter}: got {value!r}, allowed {allowed}'
    )
