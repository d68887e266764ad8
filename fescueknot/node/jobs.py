"""Calls that are to be run on the local target."""

import msgspec

from fescueknot.node.connections import CallerGone
from fescueknot.node.envelope import Envelope
from fescueknot.node.messages import HttpRequest


class Job(msgspec.Struct, frozen=True, kw_only=True):
    """A call that is to be run on the local target.

    ``ticket`` is the span id of the work on this node, ``deadline_s`` the
    deadline on this node's monotonic clock. The target must not start the
    work after ``start_by_s``.
    """

    ticket: str
    envelope: Envelope
    request: HttpRequest
    deadline_s: float
    start_by_s: float
    caller_gone: CallerGone
