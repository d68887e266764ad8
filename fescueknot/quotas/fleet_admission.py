"""Admission within the quotas that the owners of the regions keep."""

import asyncio
import math
from collections.abc import Callable

from fescueknot.accounts.messages import Account
from fescueknot.quotas.admission import QuotaAdmission, QuotaDecision
from fescueknot.quotas.client import QuotaClient
from fescueknot.quotas.messages import QuotaAnswer
from fescueknot.quotas.wait import Wait


class FleetAdmission(QuotaAdmission):
    """Runs a :class:`QuotaClient` on the event loop.

    ``before_take`` is called before each request.
    """

    def __init__(
        self, *, client: QuotaClient, before_take: Callable[[], None]
    ) -> None:
        self._client = client
        self._before_take = before_take
        self._timer: asyncio.TimerHandle | None = None

    async def take(self, account: Account, deadline_s: float) -> QuotaDecision:
        """Wait for a token or a refusal."""
        self._before_take()
        loop = asyncio.get_running_loop()
        wait = self._client.take(account, deadline_s, loop.time())
        self._set_timer()
        if wait.decision is None:
            await self._decided(wait)
        return wait.decision

    def give_back(self, account: Account) -> None:
        """Return the token of a request that has not run and never will."""
        self._client.give_back(account, asyncio.get_running_loop().time())
        self._set_timer()

    def receive(self, answer: QuotaAnswer) -> None:
        """Apply the answer of an owner."""
        self._client.receive(answer, asyncio.get_running_loop().time())
        self._set_timer()

    async def _decided(self, wait: Wait) -> None:
        loop = asyncio.get_running_loop()
        decided = loop.create_future()
        wait.notify = lambda: decided.done() or decided.set_result(None)
        try:
            await decided
        except asyncio.CancelledError:
            self._client.cancel(wait, loop.time())
            self._set_timer()
            raise

    def _set_timer(self) -> None:
        """Have :meth:`_advance` called when something is due.

        A timer that is set too early stays; it costs less than to set it again
        for each query.
        """
        due_s = self._client.due_s
        if self._timer is not None:
            if self._timer.when() <= due_s:
                return
            self._timer.cancel()
            self._timer = None
        if due_s < math.inf:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(due_s, self._advance)

    def _advance(self) -> None:
        self._timer = None
        self._client.advance(asyncio.get_running_loop().time())
        self._set_timer()
