"""Errors of operations on the platform's services."""


class PlatformError(Exception):
    """The operation got no usable answer."""


class PlatformUnavailable(PlatformError):
    """The operation certainly did not change anything."""


class PlatformAnswerLost(PlatformError):
    """The write may or may not have taken effect."""
