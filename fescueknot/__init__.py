"""Overload control layer for service call graphs.

The package root is the public API for embedding applications. Its names are
imported lazily, on first use, from the modules listed in ``_EXPORTS``.
"""

import importlib
import types

__version__ = '0.1.0'

_EXPORTS = types.MappingProxyType(
    {
        'AdmissionGate': 'fescueknot.admission.gate',
        'AtMostOnceGate': 'fescueknot.idempotency.gate',
        'Clock': 'fescueknot.clock',
        'ConnectionSuspicion': 'fescueknot.routing.suspicion',
        'FaultyStore': 'fescueknot.objectapi.faults',
        'FescueknotError': 'fescueknot.errors',
        'HardRetryFilter': 'fescueknot.retries.hard',
        'Importance': 'fescueknot.calls',
        'KeyMember': 'fescueknot.idempotency.member',
        'LevelBook': 'fescueknot.admission.levelbook',
        'ManualClock': 'fescueknot.clock',
        'MembershipCore': 'fescueknot.membership.core',
        'MemoryStore': 'fescueknot.objectapi.memory_store',
        'ObjectStore': 'fescueknot.objectapi.store',
        'Outcome': 'fescueknot.calls',
        'RetryAllotment': 'fescueknot.retries.allotment',
        'RetryBudget': 'fescueknot.retries.budget',
        'RetryPolicy': 'fescueknot.retries.policy',
        'RuleSet': 'fescueknot.rules.rule_set',
        'RulesInForce': 'fescueknot.rules.in_force',
        'RulesPublisher': 'fescueknot.rules.publisher',
        'RunGuard': 'fescueknot.idempotency.run_guard',
        'StartGate': 'fescueknot.rules.start_gate',
        'SystemClock': 'fescueknot.clock',
        'TargetPicker': 'fescueknot.routing.picker',
        'check_rules': 'fescueknot.rules.rules_file',
    }
)

__all__ = tuple(sorted(_EXPORTS))


def __getattr__(name: str) -> object:
    """Import a public name; raise ``AttributeError`` for any other name."""
    try:
        module = importlib.import_module(_EXPORTS[name])
    except KeyError:
        raise AttributeError(f'fescueknot has no {name!r}') from None
    return getattr(module, name)
