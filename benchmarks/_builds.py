"""Builds of the project that run as processes."""

import pathlib
import sys

import attrs


@attrs.frozen
class Build:
    """Checkout whose code a process runs.

    Attributes
    ----------
    checkout : pathlib.Path
        Root of the checkout. As the working directory of an interpreter it
        is the first place from which modules are imported.
    python : str
        Interpreter with the packages that the checkout needs.
    """

    checkout: pathlib.Path
    python: str

    @classmethod
    def at(cls, checkout):
        """Return the build of a checkout with a virtual environment.

        Parameters
        ----------
        checkout : pathlib.Path
            Root of the checkout; its environment is in ``.venv``.

        Returns
        -------
        Build
            Build that runs the checkout with the environment's interpreter.

        Raises
        ------
        FileNotFoundError
            If the checkout has no virtual environment.
        """
        checkout = checkout.resolve()
        python = checkout / '.venv' / 'bin' / 'python'
        if not python.is_file():
            raise FileNotFoundError(f'{python} does not exist')
        return cls(checkout, str(python))


#: Build that this module belongs to.
OWN_BUILD = Build(pathlib.Path(__file__).parents[1], sys.executable)
