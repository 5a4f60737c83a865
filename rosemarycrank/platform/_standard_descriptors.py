"""Standard input, output and error of a node.

A process that starts without one of them gives its number to the first file
or socket that it opens, and lines of the log would go there. This module
imports little, as it is used before all others.
"""

import os

_COUNT = 3


def open_missing():
    """Open those that are closed on the null device.

    Raises
    ------
    OSError
        If the null device cannot be opened.
    """
    for number in range(_COUNT):
        try:
            os.fstat(number)
        except OSError:
            # The lowest number that is free is that one.
            os.open(os.devnull, os.O_RDWR)
