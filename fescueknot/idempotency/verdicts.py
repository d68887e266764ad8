"""Decisions of the gate about one request with a key."""

import enum
import types

import msgspec

from fescueknot.calls import Outcome
from fescueknot.idempotency.entries import StoredAnswer
from fescueknot.identity import InstanceId


class RunToken(msgspec.Struct, frozen=True, kw_only=True):
    """Identifies one dispatch; a token is executed at most once."""

    owner: InstanceId
    digest: bytes
    serial: int


class Forward(msgspec.Struct, frozen=True, kw_only=True):
    """Another instance owns the key: send the request there."""

    owner: InstanceId


class Run(msgspec.Struct, frozen=True, kw_only=True):
    """Run the request; it must not start after ``start_by_s``.

    ``start_by_s`` is on the monotonic clock of this host.
    """

    token: RunToken
    start_by_s: float


class Repeat(msgspec.Struct, frozen=True, kw_only=True):
    """The key has been answered before: return the stored answer."""

    answer: StoredAnswer


class Reason(enum.StrEnum):
    """Why a request with a key is refused."""

    NO_OWNER = 'no owner'
    OWNER_SUSPENDED = 'owner suspended'
    OWNER_CHANGING = 'owner changing'
    OWNER_LEAVING = 'owner leaving'
    NO_LEASE = 'no lease'
    STILL_RUNNING = 'still running'
    ANSWER_LOST = 'answer lost'
    ANSWER_TOO_LARGE = 'answer too large to keep'
    OWNER_LOST = 'owner lost'
    KEY_TOO_OLD = 'key too old'
    KEY_AHEAD = 'key ahead of the clock'
    KEY_REUSED = 'key used for another request'
    LEDGER_FULL = 'ledger full'


class Refused(msgspec.Struct, frozen=True, kw_only=True):
    """Refusal: the request is not run.

    ``outcome`` is what is known of earlier attempts with the key. With
    ``retry_after_s`` the caller may send the same key again; without it the
    refusal is final. ``status`` is the HTTP status for the caller.
    """

    reason: Reason
    outcome: Outcome
    status: int
    text: str
    retry_after_s: float | None = None


Verdict = Forward | Run | Repeat | Refused

_SHORT_RETRY_AFTER_S = 1.0
_LONG_RETRY_AFTER_S = 5.0
_ATTEMPT_NOT_RUN = 'this attempt was not run, an earlier one may have been; '
_SAME_KEY = 'send the same key again'
_CHECK_BOOKS = 'look at the books of the service before you enter it again'


def _retryable(reason: Reason, cause: str, retry_after_s: float) -> Refused:
    return Refused(
        reason=reason,
        outcome=Outcome.UNKNOWN,
        status=503,
        text=f'{_ATTEMPT_NOT_RUN}{cause}; {_SAME_KEY}',
        retry_after_s=retry_after_s,
    )


def _final(reason: Reason, outcome: Outcome, cause: str) -> Refused:
    return Refused(
        reason=reason,
        outcome=outcome,
        status=409,
        text=f'{cause}; {_CHECK_BOOKS}',
    )


_REFUSALS = types.MappingProxyType(
    {
        refusal.reason: refusal
        for refusal in (
            _retryable(
                Reason.NO_OWNER, 'nobody owns the key yet', _LONG_RETRY_AFTER_S
            ),
            _retryable(
                Reason.OWNER_SUSPENDED,
                'its owner is silent',
                _LONG_RETRY_AFTER_S,
            ),
            _retryable(
                Reason.OWNER_CHANGING, 'its owner changes', _SHORT_RETRY_AFTER_S
            ),
            _retryable(
                Reason.OWNER_LEAVING, 'its owner leaves', _SHORT_RETRY_AFTER_S
            ),
            _retryable(
                Reason.NO_LEASE, 'its owner is cut off', _LONG_RETRY_AFTER_S
            ),
            _retryable(
                Reason.STILL_RUNNING, 'it may be running', _SHORT_RETRY_AFTER_S
            ),
            _final(
                Reason.ANSWER_LOST,
                Outcome.UNKNOWN,
                'it may have run, its answer was lost',
            ),
            _final(
                Reason.ANSWER_TOO_LARGE,
                Outcome.RUN,
                'it has run, its answer was too large to keep',
            ),
            _final(
                Reason.OWNER_LOST,
                Outcome.UNKNOWN,
                'it may have run on a host that was lost',
            ),
            _final(
                Reason.KEY_TOO_OLD,
                Outcome.UNKNOWN,
                'the key is older than keys are remembered',
            ),
            Refused(
                reason=Reason.KEY_AHEAD,
                outcome=Outcome.NOT_RUN,
                status=400,
                text='not run: the key is from the future, check the clock',
            ),
            Refused(
                reason=Reason.KEY_REUSED,
                outcome=Outcome.UNKNOWN,
                status=422,
                text='this request was not run: its key is that of another',
            ),
            Refused(
                reason=Reason.LEDGER_FULL,
                outcome=Outcome.NOT_RUN,
                status=503,
                text='not run: the ledger is full',
                retry_after_s=_LONG_RETRY_AFTER_S,
            ),
        )
    }
)


def refusal(reason: Reason) -> Refused:
    """Return the refusal for a reason."""
    return _REFUSALS[reason]
