"""A small deployment of real processes, shared by the tests."""

import contextlib
import itertools
import pathlib
from collections.abc import Iterator

import pytest

from tools.demonstration.deployment import Call, Deployment, Service, Sizes
from tools.demonstration.hosts import free_ports
from tools.demonstration.leg import Leg, Stage
from tools.demonstration.timeline import Timeline

_DEPLOYMENT = Deployment(
    name='small',
    rules='tuntikirja.rules',
    places=(('uusimaa', 'uusimaa-a'), ('pirkanmaa', 'pirkanmaa-a')),
    services=(
        Service(name='ledger', slots=4, connections=50),
        Service(
            name='trust',
            slots=4,
            connections=50,
            calls=(Call(service='ledger', path='/internal/accounts'),),
        ),
    ),
    streams=(),
    lost='trust',
)
_SIZES = Sizes(
    instances=2, slots_share=1, service_ms=5, time_factor=1, callers=1
)
_SKIPPED_PORTS = 2_000


@pytest.fixture(scope='session')
def leg(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Leg]:
    """Yield a running deployment of two services with two hosts each."""
    folder: pathlib.Path = tmp_path_factory.mktemp('small')
    ports = itertools.islice(free_ports(), _SKIPPED_PORTS, None)
    deployed = Leg(
        deployment=_DEPLOYMENT,
        stage=Stage(sizes=_SIZES, timeline=Timeline()),
        folder=folder,
        ports=ports,
        layered=True,
    )
    with contextlib.ExitStack() as stack:
        stack.callback(deployed.end)
        deployed.start()
        yield deployed
