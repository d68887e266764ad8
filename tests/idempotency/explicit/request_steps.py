"""Steps of requests with keys and of their dispatches."""

from collections.abc import Iterable

import msgspec

from fescueknot.calls import Outcome
from fescueknot.idempotency.entries import StoredAnswer
from fescueknot.idempotency.verdicts import Refused, Repeat, Run
from tests.idempotency.explicit.parts import (
    FINGERPRINT,
    Dispatch,
    Violation,
    instance,
)
from tests.idempotency.explicit.roster_steps import RosterSteps


class RequestSteps(RosterSteps):
    """Submitting, starting and answering requests; ``other`` is a key."""

    def can_submit(self, actor: str, other: str) -> bool:
        return self.now_s >= self.specs[other].usable_from_s

    def do_submit(self, actor: str, other: str) -> None:
        verdict = self.gate(actor).decide(
            self.keys[other],
            fingerprint=FINGERPRINT,
            now_s=self.now_s,
            wall_s=self.now_s,
        )
        if isinstance(verdict, Run):
            self.dispatches.append(
                Dispatch(
                    key=other,
                    token=verdict.token,
                    start_by_s=verdict.start_by_s,
                )
            )
        if isinstance(verdict, Refused):
            self._check_refusal(other, verdict)
        if isinstance(verdict, Repeat):
            self._check_repeat(other, verdict)

    def do_run(self, actor: str, other: str) -> None:
        """Submit a key and start its dispatch at once."""
        self.do_submit(actor, other)
        if self._dispatch(actor, other):
            self.do_start(actor, other)

    can_run = can_submit

    def can_start(self, actor: str, other: str) -> bool:
        return self._dispatch(actor, other) is not None

    def do_start(self, actor: str, other: str) -> None:
        self._start(actor, self._pop_dispatch(actor, other))

    def do_start_copy(self, actor: str, other: str) -> None:
        copied = self._dispatch(actor, other)
        self._start(actor, copied)

    can_start_copy = can_start

    def do_shed(self, actor: str, other: str) -> None:
        """Shed a dispatch on the executing node; its copies stay in flight."""
        dispatch = self._dispatch(actor, other)
        admitted = self.hosts[actor].guard.admit(
            dispatch.token, start_by_s=dispatch.start_by_s, now_s=self.now_s
        )
        if admitted and self.gate(actor).not_run(dispatch.token):
            self._report_not_run(other)

    can_shed = can_start

    def can_answer(self, actor: str, other: str) -> bool:
        return any(self._answers(actor, other))

    def do_answer(self, actor: str, other: str) -> None:
        dispatch = next(self._answers(actor, other))
        self._started.remove(dispatch)
        self.gate(actor).finished(dispatch.token, _answer(other))

    def do_lose_answers(self, actor: str, other: str) -> None:
        for dispatch in (*self.dispatches, *self._started):
            if dispatch.token.owner == instance(actor):
                self.gate(actor).answer_lost(dispatch.token)

    def _check_refusal(self, key: str, refused: Refused) -> None:
        if refused.outcome is Outcome.NOT_RUN:
            self._report_not_run(key)
        if refused.outcome is Outcome.RUN and not self.runs[key]:
            raise Violation(f'{key} was reported as run but has not run')
        if refused.retry_after_s is None and refused.status == 409:
            self.reached.add(f'final {key}')
            self._final_keys.add(key)

    def _check_repeat(self, key: str, repeat: Repeat) -> None:
        self.reached.add(f'repeat {key}')
        if repeat.answer != _answer(key) or self.runs[key] != 1:
            raise Violation(f'{key} did not run once or repeats another answer')

    def _report_not_run(self, key: str) -> None:
        if self.runs[key]:
            raise Violation(f'{key} was reported as not run but has run')
        self.reached.add(f'not run {key}')
        self.dispatches = [
            msgspec.structs.replace(dispatch, reported_not_run=True)
            if dispatch.key == key
            else dispatch
            for dispatch in self.dispatches
        ]

    def _start(self, actor: str, dispatch: Dispatch) -> None:
        admitted = self.hosts[actor].guard.admit(
            dispatch.token, start_by_s=dispatch.start_by_s, now_s=self.now_s
        )
        if not admitted:
            return
        key = dispatch.key
        self.runs[key] += 1
        self.reached.add(f'run {key} at {actor}')
        if self.runs[key] > 1:
            raise Violation(f'{key} runs twice')
        if key in self._final_keys:
            raise Violation(f'{key} runs after a final refusal')
        if dispatch.reported_not_run:
            raise Violation(f'{key} runs after it was reported as not run')
        self._started.append(dispatch)

    def _answers(self, actor: str, other: str) -> Iterable[Dispatch]:
        return (
            dispatch
            for dispatch in self._started
            if dispatch.key == other and dispatch.token.owner == instance(actor)
        )

    def _dispatch(self, actor: str, key: str) -> Dispatch | None:
        for dispatch in self.dispatches:
            if dispatch.key != key:
                continue
            if dispatch.token.owner == instance(actor):
                return dispatch
        return None

    def _pop_dispatch(self, actor: str, key: str) -> Dispatch:
        dispatch = self._dispatch(actor, key)
        self.dispatches.remove(dispatch)
        return dispatch


def _answer(key: str) -> StoredAnswer:
    return StoredAnswer(status=201, body=key.encode())
