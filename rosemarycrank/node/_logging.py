"""Structured logging."""

import logging

from pythonjsonlogger import json


def configure(level):
    """Write log records to standard error as JSON lines.

    Parameters
    ----------
    level : str
        Lowest level that is written.
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
