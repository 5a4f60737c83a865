"""Registry of plug-ins, by kind and name."""

from rosemarycrank.plugins import _registry

create = _registry.create
plugin_classes = _registry.plugin_classes
plugin_names = _registry.plugin_names
register = _registry.register

__all__ = ['create', 'plugin_classes', 'plugin_names', 'register']
