"""What targets ran and what callers were told, held against the promises."""

import asyncio
import collections

import msgspec

from fescueknot.httpio.messages import Headers
from fescueknot.platform.headers import PLATFORM_HEADERS as HEADERS
from tools.soak.account_checks import AccountChecks, KeyedRequest
from tools.soak.account_versions import AccountVersions
from tools.soak.announcements import AnnouncementChecks, Origin
from tools.soak.crashing_requests import CrashingRequests
from tools.soak.lost_requests import LostRequests
from tools.soak.planned_work import PlannedWork
from tools.soak.quota_checks import QuotaChecks
from tools.soak.version_order import VersionOrder

_NOT_RUN = frozenset((408, 421, 429, 503))
_UNAUTHORIZED = 401


class Told(msgspec.Struct, frozen=True, kw_only=True):
    """An answer as the caller saw it.

    ``instance`` is the target that signed it, empty without a signature. A
    target repeats the id of the attempt ``repeats`` times.
    """

    attempt: str
    idempotent: bool
    status: int
    body: bytes
    repeats: int = 1
    instance: str = ''
    leaving: bool = False


class Promises:
    """Collects what was seen; ``broken`` holds a line a breach."""

    def __init__(self, *, drain_s: float, grace_s: float) -> None:
        self.announcements = AnnouncementChecks(drain_s=drain_s)
        self.crashing = CrashingRequests()
        self.work = PlannedWork(grace_s=grace_s)
        self.lost = LostRequests(work=self.work)
        self.account_versions = AccountVersions(work=self.work)
        self.version_order = VersionOrder(versions=self.account_versions)
        self.quotas = QuotaChecks(versions=self.account_versions)
        self.broken: list[str] = []
        self.served = 0
        self.answered = 0
        self._runs: collections.Counter[str] = collections.Counter()
        self._told: dict[str, Told] = {}
        self._at_most_once: set[str] = set()
        self._origins: dict[str, Origin] = {}
        self._accounts = AccountChecks(versions=self.account_versions)
        self._keyed: dict[str, KeyedRequest] = {}

    def sent(
        self,
        attempt: str,
        *,
        idempotent: bool,
        node: str,
        key: str | None = None,
        is_public: bool = False,
    ) -> None:
        """Take note of a request before it is sent."""
        now_s = asyncio.get_running_loop().time()
        self._origins[attempt] = Origin(node=node, sent_s=now_s)
        self._keyed[attempt] = KeyedRequest(
            node=node, sent_s=now_s, key=key, is_public=is_public
        )
        if not idempotent:
            self._at_most_once.add(attempt)

    def arrived(
        self, attempt: str, instance: str, body: bytes, node: str
    ) -> None:
        """Take note of a request that reaches the target beside ``node``."""
        now_s = asyncio.get_running_loop().time()
        origin = self._origins[attempt]
        for breach in (
            self.announcements.breach(origin, instance, now_s),
            self.crashing.breach(body, (origin.node, node), now_s),
        ):
            if breach:
                self._break(f'{attempt}: {breach}')

    def names_account(self, attempt: str, headers: Headers) -> None:
        """Take note of the headers of a request that reaches a target."""
        now_s = asyncio.get_running_loop().time()
        account = next(
            (text for name, text in headers if name == HEADERS.account), None
        )
        request = self._keyed[attempt]
        for breach in (
            self._accounts.run_breach(request, headers),
            self.version_order.breach(request, account, now_s),
            self.quotas.breach(account or '', attempt, now_s),
        ):
            if breach:
                self._break(f'{attempt} by {request.node}: {breach}')

    def ran(
        self, attempt: str, *, caller: str, wanted: str, left_for_s: float
    ) -> None:
        """Take note of a run; ``left_for_s`` is how long ago it left."""
        self._runs[attempt] += 1
        if attempt in self._at_most_once and self._runs[attempt] > 1:
            self._break(f'{attempt} ran twice')
        told = self._told.get(attempt)
        if told is not None and told.status in _NOT_RUN:
            self._check_not_run(told)
        if caller != wanted:
            self._break(f'{attempt} came as from "{caller}", not "{wanted}"')
        if left_for_s > 0:
            self._break(f'{attempt} came {left_for_s:.2f} s after the bound')

    def told(self, told: Told) -> None:
        """Take note of an answer."""
        self.answered += 1
        self._told[told.attempt] = told
        if told.instance:
            self.announcements.passed_on(
                self._origins[told.attempt].node,
                told.instance,
                leaving=told.leaving,
                now_s=asyncio.get_running_loop().time(),
            )
        self._check_unauthorized(told)
        if told.status in range(200, 300):
            self.served += 1
            if told.body != told.attempt.encode() * told.repeats:
                self._break(f'{told.attempt} got the answer of another')
            if not told.instance:
                self._break(f'{told.attempt} got an answer no target made')
        if told.status in _NOT_RUN:
            self._check_not_run(told)

    def judge_lost(self) -> None:
        """Judge the requests without an answer, once all has ended."""
        self.broken.extend(self.lost.breaches())

    def _check_unauthorized(self, told: Told) -> None:
        if told.status != _UNAUTHORIZED:
            return
        now_s = asyncio.get_running_loop().time()
        request = self._keyed[told.attempt]
        for breach in (
            self._accounts.refusal_breach(request),
            self.version_order.breach(request, None, now_s),
        ):
            if breach:
                self._break(f'{told.attempt} at {request.node}: {breach}')

    def _check_not_run(self, told: Told) -> None:
        if self._runs[told.attempt]:
            self._break(f'{told.attempt} was told {told.status} and has run')

    def _break(self, line: str) -> None:
        now_s = asyncio.get_running_loop().time()
        self.broken.append(f'{now_s:.3f} {line}')
