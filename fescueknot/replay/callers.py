"""Callers: they send, wait for the answer, and send again as recorded."""

from fescueknot.calls import Outcome
from fescueknot.node.verdicts import VerdictKind
from fescueknot.replay.attempts import Attempts, Call
from fescueknot.replay.engine import Pause, Process
from fescueknot.replay.events import Arrival
from fescueknot.replay.fleet import Fleet
from fescueknot.replay.host import Host
from fescueknot.replay.keyed import KeyedCalls
from fescueknot.replay.outcomes import RequestOutcome
from fescueknot.replay.state import CallEnd, RequestState, Sending

_MS_PER_S = 1000


class Callers:
    """Plays the arrivals and collects what became of them."""

    def __init__(
        self, *, fleet: Fleet, attempts: Attempts, allotment: int
    ) -> None:
        self._fleet = fleet
        self._engine = fleet.engine
        self._attempts = attempts
        self._keyed = KeyedCalls(fleet=fleet, attempts=attempts)
        self._allotment = allotment
        self.ended: list[RequestOutcome] = []
        self.sent: list[Sending] = []

    def play(self, arrival: Arrival) -> Process:
        """Send one request, as often as its caller does."""
        state = RequestState(arrival=arrival)
        end = yield from self._send(state)
        while not end.answer and state.sendings <= arrival.repeats:
            yield Pause(wait_s=_pause_s(arrival, end))
            end = yield from self._send(state)
        self.ended.append(self._outcome(state, end))

    def _send(self, state: RequestState) -> Process:
        state.sendings += 1
        deadline_s = self._engine.now_s + state.deadline_length_s
        sending = Sending(state=state, deadline_s=deadline_s)
        self.sent.append(sending)
        end = yield from self._enter(sending)
        state.runs += sending.runs
        state.calls += sending.calls
        state.attempts += sending.attempts
        if self._engine.now_s > deadline_s:
            end = CallEnd(
                kind=VerdictKind.TIMEOUT,
                outcome=_known_late(end),
                text='too late for the caller',
            )
        sending.told = end.outcome
        sending.key_runs_when_told = self._fleet.runs_of(state.arrival.key)
        return end

    def _enter(self, sending: Sending) -> Process:
        arrival = sending.arrival
        origin = self._entry(arrival)
        service = arrival.work.service
        if origin.levels.refuses(
            service,
            arrival.importance,
            sending.root_id,
            self._engine.now_s,
        ):
            return CallEnd(
                kind=VerdictKind.SHED,
                outcome=Outcome.NOT_RUN,
                text='shed at the entry',
                retry_after_s=origin.levels.retry_after_s(
                    service, sending.root_id, self._engine.now_s
                ),
            )
        call = Call(
            origin=origin,
            sending=sending,
            work=arrival.work,
            depth=0,
            lent=self._allotment,
        )
        if arrival.at_most_once:
            return (yield from self._keyed.run(call))
        return (yield from self._attempts.run(call))

    def _entry(self, arrival: Arrival) -> Host:
        """Return the entry of the trace, or the next one that is left."""
        named = self._fleet.hosts[arrival.entry]
        if not named.condition.gone:
            return named
        return next(
            host
            for host in self._fleet.hosts.values()
            if not host.condition.gone
        )

    def _outcome(self, state: RequestState, end: CallEnd) -> RequestOutcome:
        arrival = state.arrival
        return RequestOutcome(
            request_id=arrival.request_id,
            service=arrival.work.service,
            key=arrival.key,
            importance=arrival.importance,
            at_s=arrival.at_s,
            ended_s=self._engine.now_s,
            good=bool(end.answer),
            verdict=end.kind.value,
            text=end.text,
            outcome=end.outcome,
            answer=end.answer,
            wanted=arrival.wanted,
            sendings=state.sendings,
            calls=state.calls,
            attempts=state.attempts,
            runs=state.runs,
        )


def _pause_s(arrival: Arrival, end: CallEnd) -> float:
    pause_s = arrival.pause_ms / _MS_PER_S
    if arrival.honours_retry_after:
        return max(pause_s, end.retry_after_s)
    return pause_s


def _known_late(end: CallEnd) -> Outcome:
    return end.outcome if end.outcome is Outcome.RUN else Outcome.UNKNOWN
