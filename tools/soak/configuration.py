"""The configurations of a soak, in the format of the platform."""

from tools.soak.accounts import SoakAccounts
from tools.soak.caller import DOWNLOAD, HOST, PUBLIC, ROUTE_TIMEOUT_MS

SERVICES = ('desk', 'ledger')
# Each configuration has the next of them.
_IDLE_TIMEOUTS_MS = (10_000, 4000)


def configuration(version: int, accounts: SoakAccounts | None) -> dict:
    """Return a version, with accounts and routes for them if there are any."""
    rules = [
        _rule('read', 'idempotent', 'desk', 2),
        _rule('post', 'non_idempotent', 'ledger', 0),
    ]
    if accounts is not None:
        public = _rule(PUBLIC, 'idempotent', 'desk', 2)
        rules.append(_rule(DOWNLOAD, 'download', 'desk', 2))
        rules.append({**public, 'public': True})
    tenants = {} if accounts is None else {'tenants': accounts.tenants()}
    return {
        'version': f'{version:08x}',
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 65536,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': _IDLE_TIMEOUTS_MS[
                version % len(_IDLE_TIMEOUTS_MS)
            ],
        },
        'listeners': [{'host': HOST, 'routeRules': rules}],
        'clusters': [
            {'name': service, 'healthPath': '/h', 'maxConnections': 64}
            for service in SERVICES
        ],
        **tenants,
    }


def _rule(name: str, kind: str, service: str, priority: int) -> dict:
    return {
        'name': name,
        'routeType': kind,
        'targetLatencyMs': 500,
        'priority': priority,
        'match': {'pathPrefix': f'/{name}/'},
        'action': {
            'service': service,
            'timeoutMs': ROUTE_TIMEOUT_MS,
            'attempts': 2,
        },
    }
