"""Root of the exception hierarchy.

Each package derives its base class from :class:`FescueknotError` and converts
errors of lower layers to it.
"""


class FescueknotError(Exception):
    """Base of all errors raised by this package."""
