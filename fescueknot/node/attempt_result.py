"""The end of one attempt."""

import msgspec

from fescueknot.node.messages import HttpAnswer
from fescueknot.node.verdicts import Verdict


class AttemptResult(msgspec.Struct, frozen=True, kw_only=True):
    """The answer of one attempt and what it says."""

    answer: HttpAnswer
    verdict: Verdict
