"""Sans-IO kernel: events in, effects out.

Nothing in the kernel opens a socket, reads a clock or uses a global random
source. A driver (the gevent node, or a test in virtual time) passes events
to `Kernel.handle` and executes the effects that it returns.
"""

from rosemarycrank.kernel import _effects
from rosemarycrank.kernel import _kernel
from rosemarycrank import plugins
from rosemarycrank import timers

Kernel = _kernel.Kernel
Component = _kernel.Component
Context = _kernel.Context
Timers = timers.Timers
Timer = timers.Timer

Answer = _effects.Answer
ClientRequest = _effects.ClientRequest
ClientGone = _effects.ClientGone
PeerLost = _effects.PeerLost
PlatformReply = _effects.PlatformReply
PlatformRequest = _effects.PlatformRequest
Received = _effects.Received
Reply = _effects.Reply
ResetPeer = _effects.ResetPeer
Send = _effects.Send
SendFailed = _effects.SendFailed
StopBegun = _effects.StopBegun
StopNow = _effects.StopNow
UpstreamAnnounced = _effects.UpstreamAnnounced
UpstreamAnswer = _effects.UpstreamAnswer
UpstreamCall = _effects.UpstreamCall
UpstreamCancel = _effects.UpstreamCancel
UpstreamReport = _effects.UpstreamReport
UpstreamWithdrawn = _effects.UpstreamWithdrawn
DrainRequested = _effects.DrainRequested
PartnerLeaveRequested = _effects.PartnerLeaveRequested

register = plugins.register
create = plugins.create
plugin_names = plugins.plugin_names
plugin_classes = plugins.plugin_classes

__all__ = [
    'Answer',
    'ClientGone',
    'ClientRequest',
    'Component',
    'Context',
    'DrainRequested',
    'Kernel',
    'PartnerLeaveRequested',
    'PeerLost',
    'PlatformReply',
    'PlatformRequest',
    'Received',
    'Reply',
    'ResetPeer',
    'Send',
    'SendFailed',
    'StopBegun',
    'StopNow',
    'Timer',
    'Timers',
    'UpstreamAnnounced',
    'UpstreamAnswer',
    'UpstreamCall',
    'UpstreamCancel',
    'UpstreamReport',
    'UpstreamWithdrawn',
    'create',
    'plugin_classes',
    'plugin_names',
    'register',
]
