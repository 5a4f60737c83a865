"""The process on each upstream's VM: gevent tasks around the kernel."""

from rosemarycrank.node import _build
from rosemarycrank.node import _process

Node = _process.Node
build_kernel = _build.build_kernel

__all__ = ['Node', 'build_kernel']
