"""Cluster membership: running nodes, and the targets that accept work."""

from rosemarycrank.membership import _base
from rosemarycrank.membership import _gossip

Directory = _base.Directory
GossipDirectory = _gossip.GossipDirectory
MemberFailed = _base.MemberFailed
MemberLeft = _base.MemberLeft
MemberUp = _base.MemberUp

__all__ = [
    'Directory',
    'GossipDirectory',
    'MemberFailed',
    'MemberLeft',
    'MemberUp',
]
