"""Adapter of the data path to the users' platform: names, formats, calls."""
