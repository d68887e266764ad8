"""Routes and the configuration that contains them."""

import msgspec

from fescueknot.accounts.messages import Account
from fescueknot.calls import Importance
from fescueknot.decoding import Count
from fescueknot.httpio.messages import Limits


class WeightedService(msgspec.Struct, frozen=True, kw_only=True):
    """A service and its weight among the services of a route."""

    service: str
    weight: float = 1


class Route(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Handling of the requests to one host below one path prefix.

    ``attempts`` is the maximum number of targets that one request is sent to,
    ``timeout_s`` the longest time that its caller is kept waiting. An answer
    within ``objective_s``, the latency objective, has its full value. A route
    that ``is_public`` needs no account.
    """

    name: str
    host: str
    path_prefix: str
    services: tuple[WeightedService, ...]
    idempotent: bool = False
    importance: Importance = Importance.LOW
    attempts: int = 1
    timeout_s: float = 30
    objective_s: float = 10
    is_public: bool = False


class ServiceInfo(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a service, made by operators."""

    name: str
    health_path: str = '/health'
    connection_limit: int = 300


class Configuration(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True
):
    """All routes, services and accounts, under one version.

    Requests need no account if there are none.
    """

    version: Count
    routes: tuple[Route, ...] = ()
    services: tuple[ServiceInfo, ...] = ()
    limits: Limits = Limits()
    accounts: tuple[Account, ...] = ()
