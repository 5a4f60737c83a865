"""Errors of the platform's services."""


class PlatformError(Exception):
    """An operation that has no usable answer."""


class PlatformUnavailable(PlatformError):
    """The operation certainly did not take effect."""


class PlatformAnswerLost(PlatformError):
    """A write that may or may not have taken effect."""
