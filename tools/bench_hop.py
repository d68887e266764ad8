"""Starts two nodes and their targets, and measures what a hop adds.

Prints one JSON report a line: calls that stay on the host of their entry, and
calls that go on to another host, each at the rates given.
"""

import contextlib
import pathlib
import sys
import tempfile
import time
from collections.abc import Sequence

from absl import app, flags

from fescueknot.bench import hop
from fescueknot.bench.processes import read_usage
from tools.demonstration.deployment import Deployment, Service, Sizes
from tools.demonstration.hosts import Host, free_ports
from tools.demonstration.leg import Leg, Stage
from tools.demonstration.timeline import Timeline

_IDLE_S = 10
_PERCENT = 100
_RATES = flags.DEFINE_list(
    'rates_per_s', ['41', '410'], 'Calls a second on each path.'
)
_CALLS = flags.DEFINE_integer('calls', 2_000, 'Calls on each path.')
_DEPLOYMENT = Deployment(
    name='hop',
    rules='tuntikirja.rules',
    places=(('uusimaa', 'uusimaa-a'), ('uusimaa', 'uusimaa-b')),
    services=(
        Service(name='ledger', slots=35, connections=300),
        Service(name='timesheet', slots=35, connections=300),
    ),
    streams=(),
    lost='ledger',
)
_SIZES = Sizes(
    instances=1, slots_share=1, service_ms=0.01, time_factor=1, callers=1
)


def main(_argv: Sequence[str]) -> None:
    """Measure both ways at each rate."""
    with (
        tempfile.TemporaryDirectory(prefix='fescueknot-hop-') as folder,
        contextlib.ExitStack() as ends,
    ):
        leg = Leg(
            deployment=_DEPLOYMENT,
            stage=Stage(sizes=_SIZES, timeline=Timeline()),
            folder=pathlib.Path(folder),
            ports=free_ports(),
            layered=True,
        )
        ends.callback(leg.end)
        leg.start()
        _measure(leg)


def _measure(leg: Leg) -> None:
    ledger, timesheet = leg.hosts
    pids = [leg.group.find(f'node-{host.name}').pid for host in leg.hosts]
    print(f'idle nodes: {_idle_percent(pids):.2f}% of a core each')
    for rate in _RATES.value:
        print('same host:', end=' ', flush=True)
        _run(rate, ledger, ledger, pids[:1])
        print('other host:', end=' ', flush=True)
        _run(rate, ledger, timesheet, pids)


def _idle_percent(pids: list[int]) -> float:
    time.sleep(2)
    before = [read_usage(pid).cpu_s for pid in pids]
    time.sleep(_IDLE_S)
    spent_s = sum(read_usage(pid).cpu_s for pid in pids) - sum(before)
    share = spent_s / _IDLE_S / len(pids)
    return share * _PERCENT


def _run(rate: str, target: Host, entry: Host, pids: list[int]) -> None:
    words = (
        'hop',
        f'--direct={target.target}',
        f'--layered={entry.entry}',
        f'--service={target.service.name}',
        '--path=/matters/7/balance',
        f'--rate_per_s={rate}',
        f'--calls={_CALLS.value}',
        f'--pids={",".join(map(str, pids))}',
    )
    hop.main(words)


if __name__ == '__main__':
    app.run(main, argv=sys.argv)
