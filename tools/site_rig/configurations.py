"""Versions of the operator's configuration for a site."""

import random
from collections.abc import Callable

from tools.site_rig.scene import ROUTE_HOST
from tools.site_rig.site import RequestClass, Site

_HEADER_BYTES = 16_384
_BODY_BYTES = 1_048_576
_HEADER_TIMEOUT_MS = 3000
IDLE_LIMITS_S = (4.0, 6.0, 10.0, 15.0)
_MS_PER_S = 1000
_IDLE_ROUTES = 8
# No route gets less than its own time limit, so that the check may use that.
_TIMEOUT_RATIOS = (1.0, 1.25, 1.5)
_WEIGHTS = (1, 2, 4, 9)


class Configurations:
    """Yields one changed version after the other."""

    def __init__(self, *, site: Site, rng: random.Random) -> None:
        self._site = site
        self._rng = rng
        self._version = 0
        self._idle_limit_s = 10.0
        self._timeout_ratios: dict[str, float] = {}
        self._moved: dict[str, dict] = {}
        # Routes that no client uses.
        self._idle = [f'idle-{number}' for number in range(_IDLE_ROUTES)]
        self._changes: dict[str, Callable[[], None]] = {
            'timeout': self._change_timeouts,
            'route': self._move_routes,
            'weights': self._change_weights,
            'skew': self._change_weights,
            'revoke': self._take_away,
        }

    def change(self, how: str, idle_limit_s: float = 0) -> dict:
        """Return another version."""
        self._version += self._rng.randint(1, 3)
        self._idle_limit_s = idle_limit_s or self._idle_limit_s
        self._changes.get(how, _change_nothing)()
        return {
            'version': f'{self._version:08x}',
            'limits': {
                'maxHeaderBytes': _HEADER_BYTES,
                'maxBodyBytes': _BODY_BYTES,
                'headerTimeoutMs': _HEADER_TIMEOUT_MS,
                'idleTimeoutMs': int(self._idle_limit_s * _MS_PER_S),
            },
            'listeners': [
                {
                    'host': ROUTE_HOST,
                    'routeRules': [
                        *map(self._rule, self._site.classes),
                        *map(self._idle_rule, self._idle),
                    ],
                }
            ],
            'clusters': [
                {
                    'name': service.name,
                    'healthPath': '/health',
                    'maxConnections': service.conn_cap,
                }
                for service in self._site.services
            ],
        }

    def _rule(self, kind: RequestClass) -> dict:
        ratio = self._timeout_ratios.get(kind.name, 1)
        action = {
            'timeoutMs': kind.limit_ms * ratio,
            'attempts': 1 + kind.retries,
        }
        action.update(self._moved.get(kind.name, {'service': kind.service}))
        repeatable = 'idempotent' if kind.is_idempotent else 'non_idempotent'
        return {
            'name': kind.name,
            'routeType': repeatable,
            'targetLatencyMs': kind.aim_ms,
            'priority': kind.priority,
            'match': {'pathPrefix': f'/{kind.name}/'},
            'action': action,
        }

    def _idle_rule(self, name: str) -> dict:
        kind = self._site.classes[0]
        named = {'name': name, 'match': {'pathPrefix': f'/{name}/'}}
        return self._rule(kind) | named

    def _take_away(self) -> None:
        """Drop half of the idle routes that are left."""
        left = len(self._idle) // 2
        self._idle = self._rng.sample(self._idle, left)

    def _change_timeouts(self) -> None:
        for kind in self._site.classes:
            ratio = self._rng.choice(_TIMEOUT_RATIOS)
            self._timeout_ratios[kind.name] = ratio

    def _move_routes(self) -> None:
        for kind in self._movable():
            service = self._rng.choice((kind.service, *kind.also))
            self._moved[kind.name] = {'service': service}

    def _change_weights(self) -> None:
        for kind in self._movable():
            split = [
                {'service': service, 'weight': self._rng.choice(_WEIGHTS)}
                for service in (kind.service, *kind.also)
            ]
            self._moved[kind.name] = {'trafficSplit': split}

    def _movable(self) -> list[RequestClass]:
        return [kind for kind in self._site.classes if kind.also]


def _change_nothing() -> None:
    """Leave the routes as they are."""
