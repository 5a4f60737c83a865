"""Registry of plug-ins by kind and name."""

_CLASSES = {}


def register(kind, name):
    """Register a plug-in class; a class decorator.

    Parameters
    ----------
    kind : str
        Kind of plug-in, for example ``'admission'``.
    name : str
        Name that settings use for it, unique within the kind.

    Returns
    -------
    callable
        The decorator; it returns the class unchanged.

    Raises
    ------
    ValueError
        If another class holds the name.
    """

    def decorate(cls):
        by_name = _CLASSES.setdefault(kind, {})
        if by_name.setdefault(name, cls) is not cls:
            raise ValueError(f'{kind}: name {name!r} is registered already')
        return cls

    return decorate


def plugin_names(kind):
    """Return the sorted names registered for a kind.

    Parameters
    ----------
    kind : str
        Kind of plug-in.

    Returns
    -------
    list of str
        The names.
    """
    return sorted(_CLASSES.get(kind, {}))


def plugin_classes(kind):
    """Return the registered classes of a kind, by name.

    Parameters
    ----------
    kind : str
        Kind of plug-in.

    Returns
    -------
    dict of str to type
        A copy of the registry of the kind.
    """
    return dict(_CLASSES.get(kind, {}))


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
        If no class of that kind has the name.
    """
    by_name = _CLASSES.get(kind, {})
    if name not in by_name:
        raise ValueError(f'{kind}: got {name!r}, allowed {plugin_names(kind)}')
    return by_name[name](**parameters)
