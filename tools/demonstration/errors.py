"""Errors of the demo."""


class DemoError(Exception):
    """The demo could not be played as planned."""
