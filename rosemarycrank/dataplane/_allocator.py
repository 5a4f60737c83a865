"""Memory allocator of the C library: how memory is given back to the system.

The GNU library raises the size from which a block is mapped by itself to that
of the largest block that was freed. Later large blocks then lie in the heap,
where small ones that outlive them keep their pages.
"""

import logging

#: Size from which a block is mapped by itself, and so given back when it is
#: freed; free memory at the end of the heap that is given back. In bytes.
MIN_MAPPED_BYTES = 131072
MAX_FREE_END_BYTES = 131072

# Parameters of mallopt.
_TRIM_THRESHOLD = -1
_MMAP_THRESHOLD = -3

_LOG = logging.getLogger(__name__)


def fix_thresholds():
    """Have large blocks mapped by themselves, whatever was freed before.

    Has no effect with a library without such settings.
    """
    library = _library('mallopt')
    if library is not None:
        library.mallopt(_MMAP_THRESHOLD, MIN_MAPPED_BYTES)
        library.mallopt(_TRIM_THRESHOLD, MAX_FREE_END_BYTES)


def trim():
    """Give the free pages of the heap back to the system.

    Returns
    -------
    bool
        Whether any were; False also if the library does not offer it.
    """
    library = _library('malloc_trim')
    return library is not None and library.malloc_trim(0) == 1


def _library(function):
    """Return the C library; None if it does not have a function."""
    try:
        # Imported here, to keep the start of a node fast.
        import ctypes

        library = ctypes.CDLL(None)
    except (ImportError, OSError) as error:
        _LOG.debug('allocator is unknown: %s', error)
        return None
    return library if hasattr(library, function) else None
