"""Errors of settings and other checked YAML files."""


class ProblemError(ValueError):
    """One problem of a file.

    Parameters
    ----------
    file : str
        Name of the file or of another source of the values.
    line : int
        Line in the file, counted from 1; 0 if unknown.
    key : str
        Path of the key, for example ``classes.renewal.rank``.
    found : object
        Description of the value found.
    allowed : str
        Description of the allowed values.
    """

    def __init__(self, file, line, key, found, allowed):
        super().__init__(file, line, key, found, allowed)
        self.file = file
        self.line = line
        self.key = key
        self.found = found
        self.allowed = allowed

    def __str__(self):
        location = f'{self.file}:{self.line}' if self.line else self.file
        key = f' {self.key}:' if self.key else ''
        return f'{location}:{key} got {self.found}, allowed {self.allowed}'

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
    """All problems of one file, as instances of `ProblemError`."""

    def derive(self, excs):
        """Return a group of the given problems, for `ExceptionGroup.split`."""
        return SettingsError(self.message, excs)
