"""Hash function, imported on first use, as its module loads OpenSSL."""

import functools
import importlib


@functools.cache
def blake2b():
    """Return the constructor of BLAKE2b hashes (RFC 7693)."""
    return importlib.import_module('hashlib').blake2b
