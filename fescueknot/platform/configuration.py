"""Decodes the operator's configuration from the platform's format."""

from typing import Annotated

import msgspec

from fescueknot.accounts.digests import key_digest
from fescueknot.accounts.errors import AccountsError
from fescueknot.accounts.messages import Account
from fescueknot.accounts.table import check_accounts
from fescueknot.calls import Importance
from fescueknot.decoding import DECODE_ERRORS
from fescueknot.httpio.messages import Limits
from fescueknot.relay.adapter import UnreadableError
from fescueknot.routes.messages import (
    Configuration,
    Route,
    ServiceInfo,
    WeightedService,
)

KIND = 'config'
NAME = 'main'
_MS_PER_S = 1000
_VERSION_BASE = 16
_DEFAULT_TIMEOUT_MS = 30_000
_DEFAULT_OBJECTIVE_MS = 1000
IDEMPOTENT_TYPES = frozenset(('idempotent', 'download'))
# Names of accounts become values of headers.
_HeaderText = Annotated[
    str,
    msgspec.Meta(min_length=1, max_length=256, pattern=r'^[ -~\xa0-\xff]+\Z'),
]
_Rate = Annotated[float, msgspec.Meta(ge=0)]


class _PlatformStruct(msgspec.Struct, rename='camel', kw_only=True):
    """Base of the structs in the platform's format."""


class _SplitEntry(_PlatformStruct):
    service: str
    weight: float


class _Action(_PlatformStruct):
    """Destination of requests; ``traffic_split`` replaces ``service``."""

    service: str | None = None
    traffic_split: tuple[_SplitEntry, ...] = ()
    timeout_ms: float | None = None
    attempts: int = 1


class _Match(_PlatformStruct):
    path_prefix: str


class Rule(_PlatformStruct):
    """A route.

    ``priority`` 0 is the highest. Requests may be repeated only if
    ``route_type`` is ``idempotent`` or ``download``.
    """

    name: str
    match: _Match
    action: _Action
    route_type: str = 'non_idempotent'
    target_latency_ms: float = _DEFAULT_OBJECTIVE_MS
    priority: int = len(Importance) - 1
    public: bool = False


class Listener(_PlatformStruct):
    """The routes of one host."""

    host: str
    route_rules: tuple[Rule, ...] = ()


class Cluster(_PlatformStruct):
    """A service."""

    name: str
    health_path: str = '/health'
    max_connections: int = 300


class Tenant(_PlatformStruct):
    """A client account; without a ``rate_per_s`` it has no limit."""

    name: _HeaderText
    api_keys: tuple[_HeaderText, ...] = ()
    priority: int | None = None
    rate_per_s: _Rate | None = None
    burst: _Rate | None = None


class _Limits(_PlatformStruct):
    max_header_bytes: int = 65_536
    max_body_bytes: int = 67_108_864
    header_timeout_ms: float = 5000
    idle_timeout_ms: float = 60_000


class Document(_PlatformStruct):
    """A configuration; ``version`` is a hexadecimal number."""

    version: Annotated[str, msgspec.Meta(pattern=r'^[0-9a-fA-F]{1,13}\Z')]
    listeners: tuple[Listener, ...] = ()
    clusters: tuple[Cluster, ...] = ()
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: tuple[Tenant, ...] = ()


def decode(text: str) -> Configuration:
    """Decode a configuration; raise :class:`UnreadableError`."""
    try:
        document = msgspec.json.decode(text, type=Document)
    except DECODE_ERRORS as error:
        raise UnreadableError(str(error)) from error
    configuration = configuration_of(document)
    try:
        check_accounts(configuration.accounts)
    except AccountsError as error:
        raise UnreadableError(str(error)) from error
    return configuration


def configuration_of(document: Document) -> Configuration:
    """Return the configuration of a document; its accounts may conflict."""
    return Configuration(
        version=int(document.version, _VERSION_BASE),
        routes=tuple(
            _route(listener.host, rule)
            for listener in document.listeners
            for rule in listener.route_rules
        ),
        services=tuple(
            ServiceInfo(
                name=cluster.name,
                health_path=cluster.health_path,
                connection_limit=cluster.max_connections,
            )
            for cluster in document.clusters
        ),
        limits=Limits(
            header_bytes=document.limits.max_header_bytes,
            body_bytes=document.limits.max_body_bytes,
            header_timeout_s=document.limits.header_timeout_ms / _MS_PER_S,
            idle_timeout_s=document.limits.idle_timeout_ms / _MS_PER_S,
        ),
        accounts=tuple(map(_account, document.tenants)),
    )


def _route(host: str, rule: Rule) -> Route:
    action = rule.action
    split = action.traffic_split or (
        _SplitEntry(service=action.service or '', weight=1),
    )
    return Route(
        name=rule.name,
        host=host,
        path_prefix=rule.match.path_prefix,
        services=tuple(
            WeightedService(service=entry.service, weight=entry.weight)
            for entry in split
        ),
        idempotent=rule.route_type in IDEMPOTENT_TYPES,
        importance=_importance(rule.priority),
        attempts=max(1, action.attempts),
        timeout_s=(action.timeout_ms or _DEFAULT_TIMEOUT_MS) / _MS_PER_S,
        objective_s=rule.target_latency_ms / _MS_PER_S,
        is_public=rule.public,
    )


def _account(tenant: Tenant) -> Account:
    importance = None
    if tenant.priority is not None:
        importance = _importance(tenant.priority)
    return Account(
        name=tenant.name,
        key_digests=tuple(map(key_digest, tenant.api_keys)),
        importance=importance,
        rate_per_s=tenant.rate_per_s or 0,
        burst=tenant.burst or 0,
    )


def _importance(priority: int) -> Importance:
    return Importance(min(max(priority, 0), max(Importance)))
