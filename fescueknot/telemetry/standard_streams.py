"""Standard streams of a process that was started without some of them.

Imports next to nothing, as the main module runs it before all other imports.
"""

import os
import sys

_DESCRIPTORS = range(3)


def open_missing() -> None:
    """Lead each standard stream that is closed nowhere.

    Otherwise the next socket gets its descriptor, and what is written to the
    stream goes to a client.
    """
    for descriptor in _DESCRIPTORS:
        if not _is_open(descriptor):
            # The lowest free descriptor is taken.
            os.open(os.devnull, os.O_RDWR)
    sys.stdout = sys.stdout or os.fdopen(1, 'w', closefd=False)
    sys.stderr = sys.stderr or os.fdopen(2, 'w', closefd=False)


def _is_open(descriptor: int) -> bool:
    try:
        os.fstat(descriptor)
    except OSError:
        return False
    return True
