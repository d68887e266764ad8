"""Decision code with one mechanism broken, to show that replays notice."""

import math
import types

import msgspec

from fescueknot.admission.adaptive import AdaptiveLimit, LimitSettings
from fescueknot.admission.gate import AdmissionGate
from fescueknot.calls import Importance, Outcome
from fescueknot.idempotency.gate import AtMostOnceGate
from fescueknot.idempotency.member import KeyMember
from fescueknot.idempotency.run_guard import RunGuard
from fescueknot.idempotency.verdicts import Refused
from fescueknot.replay.mechanisms import Mechanisms
from fescueknot.retries.allotment import AllotmentShare, RetryAllotment
from fescueknot.retries.budget import BudgetSettings, RetryBudget
from fescueknot.retries.policy import RetryPolicy
from fescueknot.routing.messages import CandidateState
from fescueknot.routing.picker import TargetPicker
from fescueknot.rules.in_force import RulesInForce
from fescueknot.rules.log_entry import Head, Snapshot


class RefillingAllotment(RetryAllotment):
    """Every call has three extra attempts of its own."""

    def lend(self, calls_to_come=1):
        return AllotmentShare(attempts=3)

    def give_back(self, share):
        """Keep nothing."""


class AllotmentPerHop(Mechanisms):
    """Retries are paid by each hop for itself."""

    def allotment(self, attempts):
        return RefillingAllotment(attempts=3)

    def retry_policy(self):
        settings = BudgetSettings(initial_tokens=1e9, max_tokens=1e9)
        return RetryPolicy(budget=RetryBudget(settings=settings))


class InvertedGate(AdmissionGate):
    """Takes the least important for the most important."""

    def offer(self, request, now_s):
        inverted = Importance(max(Importance) - request.importance)
        changed = msgspec.structs.replace(request, importance=inverted)
        return super().offer(changed, now_s)


class ClassesInverted(Mechanisms):
    """Every gate sheds the most important first."""

    def gate(self, slots):
        settings = LimitSettings(initial=slots)
        return InvertedGate(limit=AdaptiveLimit(settings=settings))


class _Members(Mechanisms):
    """Members whose gate gets other methods."""

    gate_class = AtMostOnceGate

    def member(self, instance, roster, now_s):
        member = KeyMember(instance=instance, roster=roster, now_s=now_s)
        member.gate.__class__ = self.gate_class
        return member


class _AnyBody(AtMostOnceGate):
    def decide(self, key, *, fingerprint, **rest):
        return super().decide(key, fingerprint=b'', **rest)


class _AlwaysNotRun(AtMostOnceGate):
    def decide(self, key, **rest):
        decision = super().decide(key, **rest)
        if isinstance(decision, Refused):
            return msgspec.structs.replace(decision, outcome=Outcome.NOT_RUN)
        return decision


class _ForgetsLost(AtMostOnceGate):
    def answer_lost(self, token):
        return self.not_run(token)


class NoFingerprint(_Members):
    """A key answers any request."""

    gate_class = _AnyBody


class RefusalsSayNotRun(_Members):
    """Refusals claim that nothing has run."""

    gate_class = _AlwaysNotRun


class LostAnswersForgotten(_Members):
    """A key whose answer is lost may run again."""

    gate_class = _ForgetsLost


class _OpenGuard(RunGuard):
    def admit(self, token, *, start_by_s, now_s):
        return True


class NoLease(Mechanisms):
    """The owner of a key runs it however old its roster is."""

    def member(self, instance, roster, now_s):
        member = super().member(instance, roster, now_s)
        member.gate.lease.expires_s = lambda: math.inf
        return member

    def run_guard(self):
        return _OpenGuard()


class _DrainingServes(TargetPicker):
    def update(self, candidates, callers=None):
        serving = tuple(
            msgspec.structs.replace(each, state=CandidateState.SERVING)
            for each in candidates
        )
        super().update(serving, callers)


class DrainIgnored(Mechanisms):
    """Nobody heeds a drain, not even the node."""

    def picker(self, viewpoint):
        return _DrainingServes(viewpoint=viewpoint)

    def refuses_when_draining(self):
        return False


class StopAtOnce(Mechanisms):
    """A drained host ends with work in progress."""

    def waits_for_runs(self):
        return False


class _AnySnapshot(RulesInForce):
    def offer(self, message):
        if isinstance(message, Snapshot):
            self._head = Head()
        return super().offer(message)


class NoVersionCheck(Mechanisms):
    """A node takes any snapshot."""

    def rules(self):
        return _AnySnapshot()


BY_NAME = types.MappingProxyType(
    {
        'an allotment for each hop': AllotmentPerHop,
        'classes turned round': ClassesInverted,
        'keys without fingerprint': NoFingerprint,
        'refusals that always say not run': RefusalsSayNotRun,
        'lost answers that free the key': LostAnswersForgotten,
        'owners without lease': NoLease,
        'drains that nobody heeds': DrainIgnored,
        'hosts that stop at once': StopAtOnce,
        'snapshots of any version': NoVersionCheck,
    }
)
