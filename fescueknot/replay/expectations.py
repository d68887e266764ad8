"""Stated outcomes of a trace, and the comparison with a replay."""

from collections.abc import Iterator

import msgspec

from fescueknot.calls import Outcome
from fescueknot.replay.errors import TraceError
from fescueknot.replay.outcomes import (
    Promise,
    RequestOutcome,
    RunOutcome,
)

_WINDOW_S = 2.0
_STEP_S = 0.5


class Recovery(msgspec.Struct, frozen=True, kw_only=True):
    """How soon after a trigger the goodput must be back.

    The goodput is back once ``least_percent`` of the requests that arrive
    within two seconds get their whole answers.
    """

    trigger_end_s: float
    within_s: float = 10
    least_percent: float = 95


class ExpectedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """What must become of one request; a field left out may be anything."""

    request_id: str
    good: bool | None = None
    verdict: str | None = None
    outcome: Outcome | None = None
    runs: int | None = None
    attempts_at_most: int | None = None


class ExpectedApply(msgspec.Struct, frozen=True, kw_only=True):
    """What an operator must be told about a change."""

    change_id: str
    verdict: str
    version: int = 0


class Expectations(msgspec.Struct, frozen=True, kw_only=True):
    """Stated outcomes of one trace.

    The listed ``promises`` must hold. ``least_good_percent`` is by importance
    class, ``most_attempts_per_call`` over the whole run, and
    ``least_requests`` guards against an empty replay.
    """

    promises: tuple[Promise, ...]
    least_requests: int = 0
    least_good_percent: dict[str, float] = {}
    most_attempts_per_call: float | None = None
    recovery: Recovery | None = None
    requests: tuple[ExpectedRequest, ...] = ()
    applies: tuple[ExpectedApply, ...] = ()


def parse_expectations(text: str | bytes) -> Expectations:
    """Return the expectations; raise :class:`TraceError`."""
    try:
        return msgspec.json.decode(text, type=Expectations)
    except msgspec.DecodeError as error:
        raise TraceError(f'the expectations are malformed: {error}') from error


def deviations(stated: Expectations, seen: RunOutcome) -> tuple[str, ...]:
    """Return how a replay differs from what is stated; empty is good."""
    return tuple(
        deviation
        for comparison in _COMPARISONS
        for deviation in comparison(stated, seen)
    )


def recovery_s(
    requests: tuple[RequestOutcome, ...], stated: Recovery
) -> float | None:
    """Return the seconds until goodput was back, None for never."""
    passed_s = float(0)
    while passed_s <= stated.within_s:
        begin_s = stated.trigger_end_s + passed_s
        if _good_percent(requests, begin_s) >= stated.least_percent:
            return passed_s
        passed_s += _STEP_S
    return None


def _good_percent(
    requests: tuple[RequestOutcome, ...], begin_s: float
) -> float:
    window = [
        request.good
        for request in requests
        if begin_s <= request.at_s < begin_s + _WINDOW_S
    ]
    return 100 * sum(window) / len(window) if window else 0


def _promises(stated: Expectations, seen: RunOutcome) -> Iterator[str]:
    for breach in seen.broken:
        if breach.promise in stated.promises:
            yield f'promise broken: {breach.promise.value}: {breach.detail}'


def _goodput(stated: Expectations, seen: RunOutcome) -> Iterator[str]:
    if len(seen.requests) < stated.least_requests:
        yield f'{len(seen.requests)} of {stated.least_requests} requests ended'
    for name, least in stated.least_good_percent.items():
        outcome = seen.classes.get(name)
        if outcome is None:
            yield f'goodput: no request of class {name}'
        elif outcome.good_percent < least:
            yield (
                f'goodput of {name}: {outcome.good_percent:.2f}%, '
                f'stated at least {least:g}%'
            )


def _amplification(stated: Expectations, seen: RunOutcome) -> Iterator[str]:
    if stated.most_attempts_per_call is None:
        return
    calls = sum(request.calls for request in seen.requests)
    attempts = sum(request.attempts for request in seen.requests)
    if attempts > stated.most_attempts_per_call * calls:
        yield (
            f'{attempts} attempts for {calls} calls, stated at most '
            f'{stated.most_attempts_per_call:g} for each'
        )


def _recovery(stated: Expectations, seen: RunOutcome) -> Iterator[str]:
    if stated.recovery is None:
        return
    if recovery_s(seen.requests, stated.recovery) is None:
        yield f'not recovered within {stated.recovery.within_s:g} s'


def _requests(stated: Expectations, seen: RunOutcome) -> Iterator[str]:
    ended = {request.request_id: request for request in seen.requests}
    for expected in stated.requests:
        request = ended.get(expected.request_id)
        if request is None:
            yield f'{expected.request_id}: not ended'
        else:
            yield from _differences(expected, request)


def _differences(
    expected: ExpectedRequest, request: RequestOutcome
) -> Iterator[str]:
    for name in ('good', 'verdict', 'outcome', 'runs'):
        wanted = getattr(expected, name)
        found = getattr(request, name)
        if wanted is not None and wanted != found:
            yield f'{request.request_id}: {name} {found}, stated {wanted}'
    most = expected.attempts_at_most
    if most is not None and request.attempts > most:
        yield (
            f'{request.request_id}: {request.attempts} attempts, stated at '
            f'most {most}'
        )


def _applies(stated: Expectations, seen: RunOutcome) -> Iterator[str]:
    told = {apply.change_id: apply for apply in seen.applies}
    for expected in stated.applies:
        found = told.get(expected.change_id)
        if found is None:
            yield f'{expected.change_id}: not applied'
        elif (found.verdict, found.version) != (
            expected.verdict,
            expected.version,
        ):
            yield (
                f'{expected.change_id}: told {found.verdict} '
                f'{found.version}, stated {expected.verdict} '
                f'{expected.version}'
            )


_COMPARISONS = (
    _promises,
    _goodput,
    _amplification,
    _recovery,
    _requests,
    _applies,
)
