"""The drill of a store: it comes back from an older copy."""

import abc
import asyncio

import msgspec

from fescueknot.httpio.handler import Handler
from fescueknot.httpio.messages import Request, Response

# Named in all answers; rises with each drill.
_ERA_HEADER = 'store-era'


class DrilledStore(Handler):
    """Names its era in all answers; ends the calls of an earlier era.

    While ``is_away`` is set, connections are closed without an answer.
    """

    def __init__(self) -> None:
        self.is_away = False
        self.era = 1

    @abc.abstractmethod
    def restore_copy(self, age_s: float) -> None:
        """Lose the writes of the last seconds but those of the operator."""

    @abc.abstractmethod
    async def answer_call(self, request: Request) -> Response | None:
        """Answer one call of the current era."""

    async def drill(self, *, copy_age_s: float, away_s: float) -> None:
        """Be away, then come back from a copy from before that."""
        self.is_away = True
        await asyncio.sleep(away_s)
        self.restore_copy(copy_age_s + away_s)
        self.is_away = False

    async def answer(self, request: Request, peer: str) -> Response | None:
        """Answer one call, unless a drill comes between."""
        era = self.era
        if self.is_away:
            return None
        response = await self.answer_call(request)
        if response is None or self.is_away or era != self.era:
            return None
        headers = (*response.headers, (_ERA_HEADER, str(era)))
        return msgspec.structs.replace(response, headers=headers)
