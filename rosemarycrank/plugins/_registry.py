"""Registry of plug-ins by kind and name."""

_CLASSES_BY_KIND = {}


def register(kind, name):
    """Return a class decorator that registers a plug-in class.

    Parameters
    ----------
    kind : str
        Kind of plug-in, for example ``'admission'``.
    name : str
        Name of the plug-in in settings, unique within the kind.

    Returns
    -------
    callable
        Decorator that returns the class unchanged. It raises `ValueError`
        if another class is registered under the name.
    """

    def decorate(cls):
        classes_by_name = _CLASSES_BY_KIND.setdefault(kind, {})
        if classes_by_name.setdefault(name, cls) is not cls:
            raise ValueError(f'{kind}: name {name!r} is already registered')
        return cls

    return decorate


def plugin_names(kind):
    """Return the registered names of a kind of plug-in.

    Parameters
    ----------
    kind : str
        Kind of plug-in.

    Returns
    -------
    list of str
        Names in alphabetical order.
    """
    return sorted(_CLASSES_BY_KIND.get(kind, {}))


def plugin_classes(kind):
    """Return the registered classes of a kind of plug-in.

    Parameters
    ----------
    kind : str
        Kind of plug-in.

    Returns
    -------
    dict of str to type
        Copy of the registered classes, by name.
    """
    return dict(_CLASSES_BY_KIND.get(kind, {}))


def create(kind, name, **parameters):
    """Construct a registered plug-in.

    Parameters
    ----------
    kind : str
        Kind of plug-in.
    name : str
        Registered name.
    **parameters
        Constructor parameters.

    Returns
    -------
    object
        The new plug-in.

    Raises
    ------
    ValueError
        If no class of that kind is registered under the name.
    """
    classes_by_name = _CLASSES_BY_KIND.get(kind, {})
    if name not in classes_by_name:
        raise ValueError(f'{kind}: got {name!r}, allowed {plugin_names(kind)}')
    return classes_by_name[name](**parameters)
