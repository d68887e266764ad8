"""Check of a request against the quota of its account."""

import asyncio

from fescueknot.httpio.messages import Response
from fescueknot.quotas.admission import QuotaAdmission, QuotaDecision
from fescueknot.relay.arrival import Arrival
from fescueknot.relay.refusal import Refusal, max_retry_after_s
from fescueknot.relay.request_attempts import not_run_response

_OVER_QUOTA_STATUS = 429
_MIN_RETRY_AFTER_S = 0.01
# A token that is returned later would let more requests run in a window than
# the quota allows. 0.5 s of the rate is the tolerated 10 % of a 5 s window; the
# other half is the time that the return to the owner may take.
_MAX_RETURN_AGE_S = 0.25


class QuotaCheck:
    """Refuses requests beyond the quota of their account.

    It may wait for another node's answer, unlike the other checks.
    """

    def __init__(self, *, quota: QuotaAdmission) -> None:
        self._quota = quota

    async def refusal(self, arrival: Arrival) -> Refusal | None:
        """Refuse with 429, or with 503 if nobody knows the quota's state."""
        account = arrival.account
        if account is None or not account.rate_per_s:
            return None
        decision = await self._quota.take(
            account, arrival.began_s + arrival.remaining_s
        )
        if decision.is_granted:
            return None
        return Refusal(
            response=_response(decision, max_retry_after_s(arrival)),
            event='quota.refused' if decision.is_known else 'quota.unknown',
            details={
                'id': arrival.attempt,
                'route': arrival.route.name,
                'account': account.name,
            },
        )

    def give_back(self, arrival: Arrival) -> None:
        """Return the token of a request that has not run and never will.

        One that has had its token for too long loses it.
        """
        account = arrival.account
        if account is None or not account.rate_per_s:
            return
        age_s = asyncio.get_running_loop().time() - arrival.began_s
        if age_s <= _MAX_RETURN_AGE_S:
            self._quota.give_back(account)


def _response(decision: QuotaDecision, max_retry_s: float) -> Response:
    """Return 429 with the time at which the quota has room, or 503.

    That time is told also if it is too late for this request: a caller that
    comes back earlier is refused again.
    """
    retry_after_s = max(decision.retry_after_s, _MIN_RETRY_AFTER_S)
    if not decision.is_known:
        return not_run_response(min(retry_after_s, max_retry_s))
    refused = not_run_response(retry_after_s)
    return Response(status=_OVER_QUOTA_STATUS, headers=refused.headers)
