"""Which nodes and targets there are, and which accept work."""

from rosemarycrank.membership import _base

Directory = _base.Directory
MemberFailed = _base.MemberFailed
MemberLeft = _base.MemberLeft
MemberUp = _base.MemberUp

__all__ = ['Directory', 'MemberFailed', 'MemberLeft', 'MemberUp']
