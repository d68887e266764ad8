"""Explicit-state check of the at-most-once protocol, as a plain program.

From the root: ``python -m tests.idempotency.explicit.check_protocol``. Without
arguments it explores all scenarios. Arguments are names of scenarios, or names
of mutations: these explore their scenario with the fault seeded.
"""

import sys
import time

from tests.idempotency.explicit.explorer import Report
from tests.idempotency.explicit.mutations import MUTATIONS
from tests.idempotency.explicit.scenarios import SCENARIOS, Scenario


def check(scenario: Scenario) -> Report:
    """Explore a scenario.

    Raise ``RuntimeError`` if it does not reach what it is meant to test.
    """
    report = scenario.run()
    missing = scenario.must_reach - report.reached
    if missing and not report.violation:
        raise RuntimeError(f'{scenario.name} does not reach {sorted(missing)}')
    return report


def check_mutated(name: str) -> Report:
    """Explore the scenario of a mutation with its fault seeded."""
    mutation = next(known for known in MUTATIONS if known.name == name)
    scenario = next(
        known for known in SCENARIOS if known.name == mutation.scenario
    )
    with mutation.patch():
        return scenario.run()


def _show(name: str, report: Report, elapsed_s: float) -> None:
    verdict = report.violation or 'holds'
    title = f'{name}: {verdict}, {report.states} states, {elapsed_s:.1f} s'
    lines = (title, *report.trace)
    text = '\n    '.join(lines)
    sys.stdout.write(f'{text}\n')


def main(arguments: list[str]) -> int:
    """Return 0 when nothing was violated."""
    violated = 0
    names = arguments or [scenario.name for scenario in SCENARIOS]
    scenarios = {scenario.name: scenario for scenario in SCENARIOS}
    for name in names:
        begun_s = time.monotonic()
        scenario = scenarios.get(name)
        report = check(scenario) if scenario else check_mutated(name)
        _show(name, report, time.monotonic() - begun_s)
        violated += bool(report.violation)
    return int(bool(violated))


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
