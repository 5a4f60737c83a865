"""The ``--version`` option that all programs of the package have."""

import typer

import rosemarycrank


def print_version(requested):
    """Print the version and exit; callback of ``--version``.

    Parameters
    ----------
    requested : bool
        Whether the option is given.

    Raises
    ------
    typer.Exit
        If it is.
    """
    if requested:
        typer.echo(rosemarycrank.__version__)
        raise typer.Exit
