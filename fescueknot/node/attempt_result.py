"""The result of one attempt."""

import msgspec

from fescueknot.node.messages import HttpAnswer
from fescueknot.node.verdicts import Verdict


class AttemptResult(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to one attempt and the verdict on it."""

    answer: HttpAnswer
    verdict: Verdict
