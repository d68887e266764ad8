"""Assembles the parts of a node that implement quotas of accounts."""

import functools
import random
from collections.abc import Awaitable, Callable, Mapping

from fescueknot.objectapi.async_store import AsyncObjectStore
from fescueknot.quotas.candidates import QuotaNodes
from fescueknot.quotas.client import QuotaClient, QuotaScope
from fescueknot.quotas.fleet_admission import FleetAdmission
from fescueknot.quotas.lease import LeaseRole
from fescueknot.quotas.shard_owner import ShardOwner
from fescueknot.relay.observer import Observer
from fescueknot.relay.part_settings import gossip_address
from fescueknot.relay.quota_exchange import QuotaExchange
from fescueknot.relay.quota_lease import QuotaLeaseTask
from fescueknot.relay.settings import RelaySettings
from fescueknot.routes.in_force import RoutesInForce
from fescueknot.targets.directory import TargetDirectory

_START_BITS = 48
_Work = Callable[[], Awaitable[None]]


class QuotaParts:
    """The admission, the exchange with other nodes, and the leases.

    ``era`` returns the store's era as far as this node knows, ``boot_s`` the
    time by a clock that runs on while the host is suspended.
    """

    def __init__(
        self,
        *,
        settings: RelaySettings,
        directory: TargetDirectory,
        routes: RoutesInForce,
        observer: Observer,
        era: Callable[[], int],
        boot_s: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._boot_s = boot_s
        self._routes = routes
        self._applied_version = 0
        self._has_limits = False
        self._nodes = QuotaNodes()
        self._start = rng.getrandbits(_START_BITS)
        self._owners = tuple(
            ShardOwner(
                node=settings.node,
                start=self._start,
                regions=len(settings.quota_regions),
                now_s=self._boot_s(),
            )
            for _ in range(settings.quota_shards)
        )
        self._leases = tuple(
            self._build_lease(shard, era, observer)
            for shard in range(settings.quota_shards)
        )
        self.exchange = QuotaExchange(
            local_address=gossip_address(settings),
            directory=directory,
            nodes=self._nodes,
            owners=self._owners,
            before_query=self._has_limits_now,
            on_prompt=self._prompt,
            boot_s=boot_s,
        )
        self.client = self._build_client(rng)
        self.admission = FleetAdmission(
            client=self.client, before_take=self.exchange.ensure_nodes
        )
        self.exchange.admission = self.admission

    def works(self, store: AsyncObjectStore) -> Mapping[str, _Work]:
        """Return the tasks that keep or seek the leases, by name."""
        return {
            f'quota lease {shard}': functools.partial(lease.run, store)
            for shard, lease in enumerate(self._leases)
        }

    def owned_shards(self) -> int:
        """Return how many shards this node owns."""
        return sum(lease.is_owner for lease in self._leases)

    def _build_lease(
        self, shard: int, era: Callable[[], int], observer: Observer
    ) -> QuotaLeaseTask:
        return QuotaLeaseTask(
            key=f'{self._settings.region}-{shard}',
            owner=self._owners[shard],
            prepare=functools.partial(self._prepare, shard),
            era=era,
            boot_s=self._boot_s,
            observer=observer,
        )

    def _build_client(self, rng: random.Random) -> QuotaClient:
        settings = self._settings
        return QuotaClient(
            scope=QuotaScope(
                region=settings.region,
                regions=settings.quota_regions,
                shards=settings.quota_shards,
            ),
            start=self._start,
            nodes=self._nodes,
            send=self.exchange.send_query,
            rng=rng,
        )

    def _has_limits_now(self) -> bool:
        """Apply the configuration in force; return whether it has limits."""
        version = self._routes.version
        if version != self._applied_version:
            self._applied_version = version
            limited = self._routes.limited_accounts
            self._has_limits = bool(limited)
            for owner in self._owners:
                owner.set_accounts(limited, self._boot_s())
        return self._has_limits

    def _prepare(self, shard: int) -> bool:
        """Set this node's role; return whether there is anything to own."""
        if not self._has_limits_now():
            return False
        self.exchange.ensure_nodes()
        settings = self._settings
        names = [
            node.name for node in self._nodes.candidates(settings.region, shard)
        ]
        role = LeaseRole.NONE
        if settings.node in names:
            is_first = names[0] == settings.node
            role = LeaseRole.FIRST if is_first else LeaseRole.CANDIDATE
        self._owners[shard].lease.set_role(role)
        return True

    def _prompt(self) -> None:
        for lease in self._leases:
            lease.prompt()
