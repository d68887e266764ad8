"""Gives the memory of large messages back as soon as they are freed."""

import ctypes
import logging

_LOG = logging.getLogger('fescueknot.httpio')
# ``M_MMAP_THRESHOLD`` of glibc's ``mallopt``.
_MMAP_THRESHOLD = -3
# What is received at once is smaller and stays in the heap, where it costs no
# system call.
_SEPARATE_BYTES = 1_048_576


def separate_large_blocks() -> bool:
    """Keep large blocks out of the heap; return whether that is possible.

    By default glibc raises its threshold up to 32 MiB with each large block
    that is freed. Bodies that grow side by side in the heap then leave gaps:
    the process keeps their memory, though no buffer budget counts it.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError) as error:
        _LOG.debug('httpio: the allocator has no mallopt: %r', error)
        return False
    return bool(mallopt(_MMAP_THRESHOLD, _SEPARATE_BYTES))
