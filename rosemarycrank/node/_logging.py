"""Structured logging."""

import logging

from pythonjsonlogger import json


def configure(level):
    """Configure the root logger to write JSON lines to standard error.

    Parameters
    ----------
    level : str
        Name of the lowest level that is logged.
    """
    handler = logging.StreamHandler()
    handler.setFormatter(
        json.JsonFormatter(
            '%(asctime)s %(levelname)s %(name)s %(message)s',
            rename_fields={
                'asctime': 'time',
                'levelname': 'level',
                'name': 'logger',
            },
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
