"""Everything around the nodes of a soak: store, targets, callers."""

import asyncio
import contextlib
import itertools
import pathlib
import random
from collections.abc import Iterator

import msgspec

from fescueknot.httpio.server import Server
from fescueknot.identity import Address
from tools.demonstration.hosts import free_ports
from tools.soak.accounts import SoakAccounts
from tools.soak.callers import Callers
from tools.soak.configuration import SERVICES, configuration
from tools.soak.habits import CALLERS
from tools.soak.node import SoakNode
from tools.soak.promises import Promises
from tools.soak.proxy import Proxy
from tools.soak.store_era import until_known
from tools.soak.target import SoakTarget
from tools.standin.platform_store import PlatformStoreStandin

_TARGETS_PER_SERVICE = 2
DRAIN_S = 4
GRACE_S = 4
_READY_S = 90
_DOWN_S = 2.0
# Reads that may be stale show what the store had then.
_STALE_S = 1.0
_CLOCK_CHECK_S = 0.05
_STANDSTILL_S = 0.05
# Seeds that run side by side take other ports; none of them is one that the
# system gives to outgoing connections.
_FIRST_PORT = 8000
_PORTS_PER_SEED = 30
_SEEDS_APART = 100


class Parts(msgspec.Struct, frozen=True, kw_only=True):
    """Parts of a world that the usual seeds don't have.

    ``judges_quotas`` needs accounts.
    """

    has_accounts: bool = False
    has_load_figures: bool = False
    judges_quotas: bool = False


USUAL = Parts()


class World:
    """One fleet on this machine; ``accounts`` are there if it has any."""

    def __init__(
        self, *, folder: pathlib.Path, seed: int, parts: Parts = USUAL
    ) -> None:
        self.rng = random.Random(seed)  # noqa: S311
        self.promises = Promises(drain_s=DRAIN_S, grace_s=GRACE_S)
        self.promises.quotas.is_on = parts.judges_quotas
        self.accounts: SoakAccounts | None = None
        if parts.has_accounts:
            self.accounts = SoakAccounts(rng=self.rng)
        self.callers = Callers(
            promises=self.promises, rng=self.rng, accounts=self.accounts
        )
        self.store = PlatformStoreStandin()
        self.store.stale_s = _STALE_S
        self.nodes: list[SoakNode] = []
        self.targets: list[SoakTarget] = []
        self._folder = folder
        self._parts = parts
        first = _FIRST_PORT + seed % _SEEDS_APART * _PORTS_PER_SEED
        self._ports = itertools.islice(free_ports(), first, None)
        self._version = 0
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Start all and wait until every node answers."""
        server = Server(handler=self.store, report_error=self._fault)
        await server.listen('127.0.0.1', 0)
        address = Address(host='127.0.0.1', port=server.port)
        self.change_configuration()
        for service in SERVICES:
            for index in range(_TARGETS_PER_SERVICE):
                await self._add(f'{service}-{index}', service, address)
        await self.serve_within(_READY_S)

    async def serve_within(self, limit_s: float) -> None:
        """Wait until every node serves; note it as broken if one doesn't."""
        try:
            await asyncio.wait_for(self.until_all_serve(), limit_s)
        except TimeoutError:
            self.promises.broken.append('not all nodes serve')

    async def learn_era_within(self, limit_s: float) -> None:
        """Wait until every node knows the store era; note who doesn't."""
        for node in self.nodes:
            known = until_known(node.port('metrics'), self.store.era)
            try:
                await asyncio.wait_for(known, limit_s)
            except TimeoutError:
                self.promises.broken.append(f'{node.name} knows an older era')

    def begin_load(self) -> None:
        """Let callers send requests."""
        self._tasks.append(asyncio.ensure_future(self._watch_clock()))
        for node in self.nodes:
            for habit in CALLERS:
                caller = self.callers.of_any_account(node, habit)
                self._tasks.append(asyncio.ensure_future(caller.run()))

    def excuse(self, node: SoakNode) -> None:
        """Forget what a node was told; it was killed, stopped or paused."""
        self.promises.announcements.excuse(node.name)
        now_s = asyncio.get_running_loop().time()
        self.promises.crashing.excuse(node.name, now_s)

    @contextlib.contextmanager
    def disruption(self, *, store_only: bool = False) -> Iterator[None]:
        """Take note of unplanned trouble for as long as it lasts."""
        loop = asyncio.get_running_loop()
        disruption = self.promises.work.disrupt(
            loop.time(), store_only=store_only
        )
        try:
            yield
        finally:
            disruption.until_s = loop.time()

    def change_configuration(self) -> None:
        """Write a new version."""
        self._version += 1
        now_s = asyncio.get_running_loop().time()
        self.promises.work.configured(now_s)
        written = configuration(self._version, self.accounts)
        self.store.write('config', 'main', written)
        if self.accounts is not None:
            accounts = self.accounts.version(now_s)
            self.promises.account_versions.add(accounts)

    async def until_all_serve(self) -> None:
        """Wait until each node has served a few requests in a row."""
        for node in self.nodes:
            caller = self.callers.of_account(node)
            in_a_row = 0
            while in_a_row < 5:
                status = await caller.ask()
                in_a_row = in_a_row + 1 if status == 200 else 0
                await asyncio.sleep(0.05)

    def end(self) -> None:
        """End all processes that this world has started."""
        for task in self._tasks:
            task.cancel()
        for node in self.nodes:
            node.end()
            node.store.close()
            node.target.close()

    async def _add(self, name: str, service: str, store: Address) -> None:
        target = SoakTarget(
            service=service,
            node_name=name,
            drain_s=DRAIN_S,
            promises=self.promises,
            rng=self.rng,
            reports_load=self._parts.has_load_figures,
        )
        await target.start()
        node = SoakNode(
            name=name,
            service=service,
            folder=self._folder,
            store=Proxy(target=store),
            target=Proxy(target=target.address),
            ports=self._ports,
        )
        await node.store.start()
        await node.target.start()
        node.configure(DRAIN_S, GRACE_S)
        node.start()
        beats = target.announce(node.port('heartbeats'), node.target.address)
        self._tasks.append(asyncio.ensure_future(beats))
        target.on_crash = lambda: self._crash(node, target)
        self.nodes.append(node)
        self.targets.append(target)

    def _crash(self, node: SoakNode, target: SoakTarget) -> None:
        """Let a target crash and come back as a new start."""
        crash = asyncio.ensure_future(self._come_back(node, target))
        self._tasks.append(crash)

    async def _come_back(self, node: SoakNode, target: SoakTarget) -> None:
        target.is_down = True
        with self.disruption():
            await node.target.crash(_DOWN_S)
        target.renew()
        target.is_down = False

    async def _watch_clock(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + _CLOCK_CHECK_S
            await asyncio.sleep(_CLOCK_CHECK_S)
            if loop.time() > due_s + _STANDSTILL_S:
                self.promises.work.stood_still(due_s, loop.time())

    def _fault(self, error: BaseException) -> None:
        self.promises.broken.append(f'the stand-in failed: {error!r}')
