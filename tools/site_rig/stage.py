"""What the operator of a run acts on: nodes, the store, the records."""

import asyncio
import contextlib
import pathlib
import random
import time
from collections.abc import Iterator

from tools.site_rig.configurations import Configurations
from tools.site_rig.links import Links
from tools.site_rig.node_process import NodeProcess
from tools.site_rig.node_settings import NodeSettings
from tools.site_rig.records import (
    RecordFile,
    SignalKind,
    SignalRecord,
    TroubleRecord,
)
from tools.site_rig.scene import Disruption, Host, Scene
from tools.site_rig.store_gates import StoreGates


class Stage:
    """The operator's side of a run; ``code`` has the nodes' program."""

    def __init__(self, *, scene: Scene, code: pathlib.Path) -> None:
        self.scene = scene
        self.folder = pathlib.Path(scene.folder)
        self.rng = random.Random(scene.seed)  # noqa: S311
        self.gates = StoreGates(rng=self.rng)
        self.links = Links(
            net=scene.site.net, hosts=scene.hosts, folder=self.folder
        )
        self.nodes: dict[str, NodeProcess] = {}
        self._code = code
        self._configurations = Configurations(site=scene.site, rng=self.rng)
        self._records = RecordFile(path=self.folder / 'signals.jsonl')
        self._tasks: list[asyncio.Task[None]] = []

    async def start_node(self, host: Host) -> None:
        """Start the node of a host; it is kept running from now on."""
        settings = NodeSettings(
            host=host,
            store=await self.gates.open(host),
            folder=self.folder,
            bounds=self.scene.site.bounds,
        )
        settings.write()
        self.links.write(host)
        node = NodeProcess(
            host=host,
            settings=settings,
            code=self._code,
            records=self._records,
        )
        node.start()
        self.nodes[host.name] = node
        self._tasks.append(asyncio.ensure_future(node.revive()))
        self._tasks.append(asyncio.ensure_future(node.watch_memory()))

    def configure(self, disruption: Disruption) -> None:
        """Write another configuration."""
        written = self._configurations.change(
            disruption.how, disruption.idle_limit_s
        )
        self._records.add(
            SignalRecord(
                host='',
                kind=SignalKind.CONFIGURATION,
                at_s=time.monotonic(),
                detail=disruption.how,
            )
        )
        self.gates.store.write('config', 'main', written)

    @contextlib.contextmanager
    def trouble(self, disruption: Disruption) -> Iterator[None]:
        """Note that a machine is disrupted for as long as it lasts."""
        from_s = time.monotonic()
        try:
            yield
        finally:
            self._records.add(
                TroubleRecord(
                    host=disruption.host,
                    kind=disruption.kind,
                    from_s=from_s,
                    until_s=time.monotonic(),
                    is_in_touch='in_touch' in disruption.how.split(),
                )
            )

    async def end(self) -> None:
        """End all nodes, and write the records."""
        for task in self._tasks:
            task.cancel()
        for node in self.nodes.values():
            node.end()
            node.note_peak()
        self.gates.close()
        self.links.close()
        self._records.close()
