"""Errors of settings and other checked YAML files."""


class ProblemError(ValueError):
    """One thing wrong with a file.

    Parameters
    ----------
    file : str
        File, or another name of where the values come from.
    line : int
        Line in the file, from 1; 0 when not known.
    key : str
        Path of the key, for example ``classes.renewal.rank``.
    found : object
        Value found.
    allowed : str
        What is allowed.
    """

    def __init__(self, file, line, key, found, allowed):
        super().__init__(file, line, key, found, allowed)
        self.file = file
        self.line = line
        self.key = key
        self.found = found
        self.allowed = allowed

    def __str__(self):
        place = f'{self.file}:{self.line}' if self.line else self.file
        key = f' {self.key}:' if self.key else ''
        return f'{place}:{key} got {self.found}, allowed {self.allowed}'

    def as_dict(self):
        """Return the problem for JSON output.

        Returns
        -------
        dict
            Keys ``file``, ``line``, ``key``, ``found`` and ``allowed``.
        """
        return {
            'file': self.file,
            'line': self.line,
            'key': self.key,
            'found': self.found,
            'allowed': self.allowed,
        }


class SettingsError(ExceptionGroup):
    """All problems of one file; the leaves are `ProblemError`."""

    def derive(self, excs):
        """Return a group of some of the problems."""
        return SettingsError(self.message, excs)
