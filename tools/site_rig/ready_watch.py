"""Asks each node once a second whether it is ready, as the platform does."""

import asyncio

from tools.site_rig.new_work import NewWork
from tools.site_rig.node_process import NodeProcess
from tools.site_rig.readiness import is_ready
from tools.site_rig.ready_book import ReadyBook
from tools.site_rig.stage import Stage

_INTERVAL_S = 1.0


class ReadyWatch:
    """Lets the clients of a run send new work by what the nodes answer."""

    def __init__(self, *, stage: Stage) -> None:
        self._stage = stage
        self._book = ReadyBook()
        self._new_work = NewWork(folder=stage.scene.folder)

    async def run(self) -> None:
        """Ask for ever."""
        while True:
            pause = asyncio.ensure_future(asyncio.sleep(_INTERVAL_S))
            await self.ask()
            await pause

    async def ask(self) -> None:
        """Ask all nodes once, and tell the clients."""
        await asyncio.gather(*map(self._ask, self._present()))
        hosts = [node.host for node in self._present()]
        self._new_work.write(self._book.taking(hosts))

    def _present(self) -> list[NodeProcess]:
        return [
            node for node in self._stage.nodes.values() if not node.has_left
        ]

    async def _ask(self, node: NodeProcess) -> None:
        answered = await is_ready(node.host)
        self._book.note(node.host, is_ready=answered)
