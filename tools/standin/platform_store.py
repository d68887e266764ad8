"""Stand-in of the users' object store, as far as nodes use it.

One revision counter, objects by kind and name, pages, conditional writes,
watches that wait, a history that can be dropped, and a drill in which the store
comes back from an older copy.
"""

import asyncio
from urllib.parse import parse_qsl

import msgspec

from fescueknot.httpio.messages import Limits, Request, Response
from tools.standin.store_drill import DrilledStore
from tools.standin.store_history import StoreHistory

_MS_PER_S = 1000
_PREFIX = '/v1/objects/'
# What the operator wrote is written again after a drill.
_OPERATOR_KIND = 'config'


class PlatformStoreStandin(DrilledStore):
    """Answers the calls of one store.

    ``failing`` is a status to answer everything with, ``silent`` lets calls
    hang, ``lose_writes`` does writes and ends the connection, ``stale_s`` is
    the age of what reads show that may be stale.
    """

    def __init__(self, *, page_size: int = 500) -> None:
        super().__init__()
        self.stale_s = float(0)
        self.failing = 0
        self.silent = False
        self.lose_writes = False
        self.calls = 0
        self._page_size = page_size
        self._revision = 1
        self._oldest = 1
        self._objects: dict[tuple[str, str], dict] = {}
        self._events: list[tuple[int, str, dict, bool]] = []
        self._history = StoreHistory()
        self._changed = asyncio.Event()

    def limits(self) -> Limits:
        """Return wide limits."""
        return Limits(idle_timeout_s=600)

    def may_overlap(self, request: Request) -> bool:
        """Answer requests of one connection one by one."""
        return False

    def write(self, kind: str, name: str, spec: object) -> int:
        """Write an object as the operator does; return the revision."""
        self._store(kind, name, spec)
        return self._revision

    def read(self, kind: str) -> dict[str, object]:
        """Return the specs of a kind by name."""
        return {
            name: stored['spec']
            for (found, name), stored in self._objects.items()
            if found == kind
        }

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        self._remove(kind, name)

    def compact(self) -> None:
        """Drop the history."""
        self._oldest = self._revision + 1
        self._events.clear()
        self._revision += 1
        self._wake()

    def restore_copy(self, age_s: float) -> None:
        """Lose the writes of the last seconds but those of the operator."""
        by_operator = self.read(_OPERATOR_KIND)
        copied = self._history.before(age_s)
        self._objects = copied[0]
        self._revision = copied[1]
        self._history.forget_after(age_s)
        self._oldest = self._revision + 1
        self._events.clear()
        self.era += 1
        for name, spec in by_operator.items():
            self.write(_OPERATOR_KIND, name, spec)
        self._wake()

    async def answer_call(self, request: Request) -> Response | None:
        """Answer one call."""
        self.calls += 1
        if self.silent:
            await asyncio.Event().wait()
        if self.failing:
            return Response(status=self.failing)
        path, _, query = request.target.partition('?')
        options = dict(parse_qsl(query))
        kind, _, name = path.removeprefix(_PREFIX).partition('/')
        if request.method == 'GET':
            return await self._get(kind, name, options)
        response = self._write_call(request, kind, name)
        return None if self.lose_writes else response

    async def _get(
        self, kind: str, name: str, options: dict[str, str]
    ) -> Response:
        if name:
            stored = self._objects.get((kind, name))
            return _json(stored) if stored else Response(status=404)
        since = int(options.get('watch', 0))
        lag_s = self.stale_s if options.get('staleOk') == '1' else 0
        if since:
            wait_s = int(options.get('waitMs', '0')) / _MS_PER_S
            response = await self._watch(kind, since, wait_s)
            # What a stale watch tells comes later.
            await asyncio.sleep(lag_s)
            return response
        return self._page(kind, options.get('after', ''), lag_s)

    def _page(self, kind: str, after: str, lag_s: float) -> Response:
        objects, revision = self._objects, self._revision
        if lag_s:
            objects, revision = self._history.before(lag_s)
        names = sorted(name for found, name in objects if found == kind)
        later = [name for name in names if name > after]
        shown = later[: self._page_size]
        return _json(
            {
                'items': [objects[kind, name] for name in shown],
                'hasMore': len(later) > len(shown),
                'asOf': revision,
            }
        )

    async def _watch(self, kind: str, since: int, wait_s: float) -> Response:
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + wait_s
        while True:
            if not self._oldest - 1 <= since <= self._revision:
                return Response(status=410)
            events = [
                {'object': stored, 'removed': removed}
                for revision, found, stored, removed in self._events
                if revision > since and found == kind
            ]
            left_s = ends_s - loop.time()
            if events or left_s <= 0:
                return _json({'events': events, 'asOf': self._revision})
            waiting = asyncio.ensure_future(self._changed.wait())
            await asyncio.wait((waiting,), timeout=left_s)
            waiting.cancel()

    def _write_call(self, request: Request, kind: str, name: str) -> Response:
        if request.method == 'DELETE':
            if (kind, name) not in self._objects:
                return Response(status=404)
            self._remove(kind, name)
            return _json({})
        body = msgspec.json.decode(request.body)
        name = body['metadata']['name']
        exists = (kind, name) in self._objects
        if request.method == 'POST' and exists:
            return _json(self._objects[kind, name], status=409)
        if request.method == 'PUT' and not exists:
            return Response(status=404)
        expected = body['metadata'].get('revision')
        if expected:
            stored = self._objects[kind, name]
            if expected != stored['metadata']['revision']:
                return _json(stored, status=409)
        return _json(self._store(kind, name, body['spec']))

    def _store(self, kind: str, name: str, spec: object) -> dict:
        before = self._objects.get((kind, name))
        if before is not None and before['spec'] == spec:
            return before
        self._revision += 1
        created = self._revision
        if before is not None:
            created = before['metadata']['createRevision']
        stored = {
            'metadata': {
                'name': name,
                'revision': self._revision,
                'createRevision': created,
            },
            'spec': spec,
            'status': None,
        }
        self._objects[kind, name] = stored
        self._history.add((kind, name), self._revision, stored)
        self._events.append((self._revision, kind, stored, False))
        self._wake()
        return stored

    def _remove(self, kind: str, name: str) -> None:
        stored = self._objects.pop((kind, name), None)
        if stored is not None:
            self._revision += 1
            self._history.add((kind, name), self._revision, None)
            self._events.append((self._revision, kind, stored, True))
            self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _json(content: object, status: int = 200) -> Response:
    return Response(
        status=status,
        headers=(('content-type', 'application/json'),),
        body=msgspec.json.encode(content),
    )
