"""Tables from a failed transport to what each part learns from it."""

import types

from fescueknot.admission.messages import CompletionKind
from fescueknot.node import errors
from fescueknot.node.verdicts import VerdictKind
from fescueknot.retries.policy import FailureKind
from fescueknot.routing.messages import ResultKind

VERDICT_KINDS = types.MappingProxyType(
    {
        errors.ConnectFailedError: VerdictKind.UNREACHABLE,
        errors.AnswerTimeoutError: VerdictKind.TIMEOUT,
        errors.CallerGoneError: VerdictKind.GONE,
        errors.AnswerLostError: VerdictKind.BROKEN,
    }
)

COMPLETION_KINDS = types.MappingProxyType(
    {
        errors.ConnectFailedError: CompletionKind.FAILED,
        errors.AnswerTimeoutError: CompletionKind.TIMEOUT,
        errors.CallerGoneError: CompletionKind.CANCELLED,
        errors.AnswerLostError: CompletionKind.FAILED,
    }
)

FAILURE_KINDS = types.MappingProxyType(
    {
        VerdictKind.REFUSED: FailureKind.REFUSED,
        VerdictKind.SHED: FailureKind.SHED,
        VerdictKind.UNREACHABLE: FailureKind.UNREACHABLE,
        VerdictKind.BROKEN: FailureKind.BROKEN,
        VerdictKind.TIMEOUT: FailureKind.TIMEOUT,
        VerdictKind.GONE: FailureKind.TIMEOUT,
        VerdictKind.OTHER_OWNER: FailureKind.SHED,
        VerdictKind.KEY_REFUSED: FailureKind.SHED,
    }
)

RESULT_KINDS = types.MappingProxyType(
    {
        VerdictKind.ANSWERED: ResultKind.OK,
        VerdictKind.REFUSED: ResultKind.REFUSED,
        VerdictKind.SHED: ResultKind.REFUSED,
        VerdictKind.UNREACHABLE: ResultKind.UNREACHABLE,
        VerdictKind.BROKEN: ResultKind.FAILED,
        VerdictKind.TIMEOUT: ResultKind.TIMEOUT,
        VerdictKind.GONE: ResultKind.CANCELLED,
        VerdictKind.OTHER_OWNER: ResultKind.CANCELLED,
        VerdictKind.KEY_REFUSED: ResultKind.CANCELLED,
    }
)
