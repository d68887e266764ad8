"""Explains which rule applies to a call, its line and who requested it."""

import msgspec

from fescueknot.calls import CallPolicy
from fescueknot.rules.rule_set import FALLBACK_POLICY, RuleSet


class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """The policy of a call; ``line`` counts from 1 and is 0 without a rule."""

    service: str
    method: str
    path: str
    policy: CallPolicy
    line: int = 0
    text: str = ''

    def __str__(self) -> str:
        """Return the explanation as lines for an operator."""
        policy = self.policy
        retry = 'idempotent' if policy.idempotent else 'never'
        at_most_once = 'yes' if policy.at_most_once else 'no'
        rule_text = f'line {self.line}: {self.text}' if self.line else 'no rule'
        return '\n'.join(
            (
                f'{self.service} {self.method} {self.path}',
                f'rule: {rule_text}',
                f'requested by: {policy.requested_by}',
                f'class: {policy.importance.name.lower()}',
                f'retry: {retry}',
                f'at most once: {at_most_once}',
                f'deadline: {policy.deadline_ms} ms',
            )
        )


def explain(
    rules: RuleSet, *, service: str, method: str, path: str
) -> Explanation:
    """Return the policy that ``rules`` set for a call, and its rule."""
    rule = rules.find(service=service, method=method, path=path)
    if rule is None:
        return Explanation(
            service=service, method=method, path=path, policy=FALLBACK_POLICY
        )
    line_number = rules.line_of(rule)
    return Explanation(
        service=service,
        method=method,
        path=path,
        policy=rule.policy,
        line=line_number,
        text=rules.lines[line_number - 1],
    )
