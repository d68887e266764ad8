"""The settings file of a node."""

import pathlib

import msgspec

from tools.site_rig.scene import Host
from tools.site_rig.site import Bounds

_MS_PER_S = 1000
_ROLES = ('callers', 'peers', 'ready', 'heartbeats', 'gossip')


class NodeSettings:
    """Writes the settings of one node, each time with another bound."""

    def __init__(
        self, *, host: Host, store: str, folder: pathlib.Path, bounds: Bounds
    ) -> None:
        self.path = folder / f'{host.name}.json'
        self.bounds = bounds
        self._host = host
        self._store = store
        self._versions = 0

    def write(self) -> None:
        """Write the file."""
        self._versions += 1
        host, bounds = self._host, self.bounds
        settings = {
            'node': host.name,
            'service': host.service,
            'target': host.target,
            'region': host.region,
            'failure_domain': host.zone,
            'ports': {role: host.address(role) for role in _ROLES},
            'bounds': {
                'drain_s': bounds.drain_ms / _MS_PER_S,
                'grace_s': bounds.grace_s,
                'in_force_s': bounds.config_ms / _MS_PER_S,
                'retry_slack': bounds.budget_slack + self._versions % 2,
            },
            'object_store': self._store,
            'metrics_port': host.metrics_port,
            'memory_mb': host.memory_mb,
        }
        written = self.path.with_suffix('.new')
        written.write_bytes(msgspec.json.encode(settings))
        written.replace(self.path)
