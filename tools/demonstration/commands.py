"""Command lines and files of the demo's processes."""

import json
import pathlib
import sys

import msgspec

from tools.demonstration.deployment import Call, Deployment, Sizes
from tools.demonstration.hosts import Host
from tools.standin.downstream import Route
from tools.standin.plan import Plan, RetryHabit

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
_SHARED_KEY = 'demo-key-of-no-secret-at-all'
_COLD_START_S = 3
_TARGET_ATTEMPTS = 3
_HARD = RetryHabit(attempts=5, pause_s=0.05, honours_retry_after=False)
_CALM = RetryHabit(attempts=2, pause_s=0.1, honours_retry_after=True)


def program(binary: str) -> list[str]:
    """Return the words that start ``fescueknot``."""
    if binary:
        return [binary]
    return [sys.executable, '-m', 'fescueknot.cli.main']


def store_command(binary: str, port: int) -> list[str]:
    """Return the command of the object API's stand-in."""
    address = f'127.0.0.1:{port}'
    return [*program(binary), 'objectapi-standin', '--address', address]


def rules_command(binary: str, rules: str, port: int) -> list[str]:
    """Return the command that puts the rules in force."""
    file = ROOT / 'examples' / rules
    platform = f'--platform=127.0.0.1:{port}'
    return [*program(binary), 'rules', 'apply', str(file), platform]


def node_command(binary: str, settings: pathlib.Path) -> list[str]:
    """Return the command of a node."""
    return [*program(binary), 'node', '--settings', str(settings)]


def write_settings(
    folder: pathlib.Path,
    host: Host,
    store_port: int,
    seed: Host,
    *,
    lease_s: float,
) -> pathlib.Path:
    """Write the settings of a node and return the file."""
    settings = {
        'instance': host.name,
        'service': host.service.name,
        'place': {
            'region': host.region,
            'failure_domain': host.failure_domain,
        },
        'addresses': {
            'entry': _address(host.entry_port),
            'peer': _address(host.peer_port),
            'ops': _address(host.ops_port),
            'gossip': _address(host.gossip_port),
        },
        'target': _address(host.target_port),
        'platform': [_address(store_port)],
        'seeds': [_address(seed.gossip_port)],
        'shared_key': _SHARED_KEY,
        'timing': {'lease_s': lease_s},
    }
    file = folder / f'{host.name}.json'
    file.write_text(json.dumps(settings, indent=2), encoding='utf-8')
    return file


def target_command(
    host: Host,
    sizes: Sizes,
    hosts: tuple[Host, ...],
    audit: pathlib.Path,
    *,
    layered: bool,
) -> list[str]:
    """Return the command of a target, with or without its node."""
    routes = [
        _route(call, host, hosts, layered=layered)
        for call in host.service.calls
    ]
    slots = sizes.slots(host.service)
    named = {
        'service': host.service.name,
        'name': host.name,
        'port': host.target_port,
        'slots': slots,
        'queue_limit': 4 * slots,
        'connections': host.service.connections,
        'service_ms': sizes.service_ms * host.service.time_share,
        'cold_start_s': _COLD_START_S,
        'audit_file': audit,
        'routes': msgspec.json.encode(routes).decode(),
        'announce_to': host.ops if layered else '',
    }
    words = [f'--{name}={text}' for name, text in named.items()]
    return [sys.executable, '-m', 'tools.standin_target', *words]


def write_plan(
    file: pathlib.Path,
    deployment: Deployment,
    sizes: Sizes,
    hosts: tuple[Host, ...],
    *,
    layered: bool,
    shape: Plan,
) -> None:
    """Write the plan of a deployment's callers; ``shape`` has the times."""
    factor = sizes.rate_factor()
    streams = tuple(
        msgspec.structs.replace(
            stream,
            rate_per_s=stream.rate_per_s * factor,
            timeout_ms=int(stream.timeout_ms * sizes.time_factor),
        )
        for stream in deployment.streams
    )
    plan = msgspec.structs.replace(
        shape,
        streams=streams,
        routes=_caller_routes(deployment, hosts, layered=layered),
        habit=_CALM,
        surge_habit=_HARD,
        workers=sizes.callers,
    )
    file.write_bytes(msgspec.json.encode(plan))


def callers_command(plan: pathlib.Path, finished: pathlib.Path) -> list[str]:
    """Return the command of the callers."""
    return [
        sys.executable,
        '-m',
        'tools.standin_callers',
        f'--plan={plan}',
        f'--finished_file={finished}',
    ]


def _caller_routes(
    deployment: Deployment, hosts: tuple[Host, ...], *, layered: bool
) -> dict[str, tuple[str, ...]]:
    if layered:
        entries = tuple(host.entry for host in hosts)
        return {service.name: entries for service in deployment.services}
    return {
        service.name: _targets(service.name, hosts)
        for service in deployment.services
    }


def _route(
    call: Call, host: Host, hosts: tuple[Host, ...], *, layered: bool
) -> Route:
    if layered:
        return Route(
            service=call.service,
            path=call.path,
            under=call.under,
            addresses=(host.entry,),
        )
    return Route(
        service=call.service,
        path=call.path,
        under=call.under,
        addresses=_targets(call.service, hosts),
        attempts=_TARGET_ATTEMPTS,
    )


def _targets(service: str, hosts: tuple[Host, ...]) -> tuple[str, ...]:
    return tuple(host.target for host in hosts if host.service.name == service)


def _address(port: int) -> dict[str, object]:
    return {'host': '127.0.0.1', 'port': port}
