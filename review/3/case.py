"""The store comes back from an older copy; then all processes are killed."""

import asyncio
import copy
import itertools
import os
import random
import signal
import time

import stage as on

# Counted from the acknowledgement of the leaving.
_DRILL_AT_S = 1.0
_AWAY_S = 1.0
_KILL_AT_S = 2.5
# The copy is this much older than the drill.
_COPY_AGE_S = 3.0
_DRAIN_S = on.BOUNDS['drain_s']
# How long the upstream that leaves serves after its acknowledgement.
_SERVES_S = 12.0
_DEADLINE_MS = 5000
# Clients are many and each machine has a few, as at the site: some 100
# requests a second of a kind come from 24 machines.
_CALLERS = 6
_PAUSE_S = 1.0


def _drill_store(stage: on.Stage):
    """Return a stand-in of the store that can come back from a copy."""
    from fescueknot.httpio.messages import Response
    from tools.standin.platform_store import PlatformStoreStandin

    class DrillStore(PlatformStoreStandin):
        """Names its era in all answers."""

        def __init__(self) -> None:
            super().__init__()
            self.era = 1
            self.is_away = False
            self._copy = None

        def take_copy(self) -> None:
            """Keep a copy of what the store holds now."""
            self._copy = copy.deepcopy((self._revision, self._objects))
            stage.record.note(f'store: copy at revision {self._revision}')

        async def drill(self) -> None:
            """Be away, then come back from the copy."""
            stage.record.note(f'store: away at revision {self._revision}')
            self.is_away = True
            self._wake()
            await asyncio.sleep(_AWAY_S)
            lost = self.read('config')
            self._revision, self._objects = self._copy
            self._oldest = self._revision + 1
            self._events.clear()
            self.era += 1
            # What the operator wrote is written again.
            for name, spec in lost.items():
                self.write('config', name, spec)
            self.is_away = False
            stage.record.note(
                f'store: back at revision {self._revision}, era {self.era}'
            )

        async def answer(self, request, peer):
            """Answer one call; none while away, 410 beyond the revision."""
            if self.is_away:
                return None
            era = self.era
            watched = request.target.partition('watch=')[2].partition('&')[0]
            if watched and int(watched) > self._revision:
                response = Response(status=410)
            else:
                response = await super().answer(request, peer)
            if self.is_away or era != self.era or response is None:
                return None
            return Response(
                status=response.status,
                headers=(*response.headers, ('store-era', str(self.era))),
                body=response.body,
            )

    return DrillStore()


class _Case:
    def __init__(self, stage: on.Stage) -> None:
        self.stage = stage
        self.sent_s: dict[str, float] = {}
        self._ids = itertools.count(1)
        self.targets = [
            on.Target(
                stage=stage,
                service=service,
                instance=f'i-{number}',
                slots=36,
                work=self._work,
            )
            for number, service in enumerate(
                ('calendario',) * 2 + ('inscripcion',) * _CALLERS, start=1
            )
        ]
        self.beats: list[asyncio.Task] = []

    async def start(self) -> None:
        """Start all and wait until the nodes are ready."""
        rules = [
            on.rule('browse', 'calendario', idempotent=True, timeout_ms=2000)
        ]
        await self.stage.start_store(
            on.configuration(7, rules), _drill_store(self.stage)
        )
        for number, target in enumerate(self.targets, start=1):
            await target.start()
            node = self.stage.add_node(
                f'node-{number}', target.service, target.port
            )
            self.beats.append(self.stage.spawn(target.announce(node)))
        for node in self.stage.nodes:
            await node.wait_ready()
        await asyncio.sleep(on.STABLE_WINDOW_S + 1)

    async def leave(self, target: on.Target, node: on.Node) -> float:
        """Leave by DELETE alone; return the time of the acknowledgement."""
        self.beats[0].cancel()
        while True:
            try:
                answer = await on.ask(
                    node.ports['heartbeats'],
                    'DELETE',
                    f'/v1/instances/{target.instance}',
                    {'Host': 'node'},
                    b'',
                    1,
                )
            except (OSError, EOFError, TimeoutError):
                continue
            if answer.status == 200:
                self.stage.record.note(
                    f'{target.instance}: has sent DELETE, acknowledged'
                )
                return time.monotonic()

    async def run_client(self, node: on.Node) -> None:
        """Send one request after the other."""
        while True:
            attempt = f'{next(self._ids):016x}'
            self.sent_s[attempt] = time.monotonic()
            try:
                answer = await on.ask(
                    node.ports['callers'],
                    'GET',
                    '/browse/1',
                    on.client_headers(attempt, _DEADLINE_MS),
                    b'',
                    _DEADLINE_MS / 1000 + 1,
                )
            except (OSError, EOFError, TimeoutError) as error:
                outcome = repr(error)
            else:
                outcome = str(answer.status)
            self.stage.record.note(f'{node.name}: {attempt} gets {outcome}')
            await asyncio.sleep(_PAUSE_S * random.uniform(0.5, 1.5))

    async def _work(self, line, headers, body, writer) -> None:
        await asyncio.sleep(0.02)
        writer.write(on.answer_head(headers, 2) + b'ok')
        await writer.drain()


async def _case(stage: on.Stage, is_harmed: bool) -> list[str]:
    # Either disruption alone, to tell which of them it needs.
    wanted = os.environ.get('TROUBLE', 'both')
    has_drill = is_harmed and wanted != 'kill'
    has_kill = is_harmed and wanted != 'drill'
    case = _Case(stage)
    await case.start()
    first, _, *others = stage.nodes
    for node in others:
        stage.spawn(case.run_client(node))
    await asyncio.sleep(3)
    stage.store.take_copy()
    await asyncio.sleep(_COPY_AGE_S - _DRILL_AT_S)
    acknowledged_s = await case.leave(case.targets[0], first)
    await asyncio.sleep(_DRILL_AT_S)
    if has_drill:
        await stage.store.drill()
    await asyncio.sleep(acknowledged_s + _KILL_AT_S - time.monotonic())
    if has_kill:
        for node in stage.nodes:
            node.send(signal.SIGKILL)
        await asyncio.gather(*(node.restart() for node in stage.nodes))
    # From here on, none of the machines has been harmed, nor the store, for
    # the whole window.
    calm_s = time.monotonic()
    in_touch_s = max(
        calm_s + on.STABLE_WINDOW_S + 0.1, acknowledged_s + _DRAIN_S + 0.1
    )
    await asyncio.sleep(acknowledged_s + _SERVES_S - time.monotonic())
    late = [
        attempt
        for ran_s, attempt in case.targets[0].runs
        if case.sent_s[attempt] > in_touch_s
    ]
    stage.record.note(
        f'i-1 ran {len(late)} requests that were sent more than '
        f'{in_touch_s - acknowledged_s:.2f} s after its acknowledgement; the '
        f'last {in_touch_s - calm_s:.2f} s of that without any disruption'
    )
    if not late:
        return []
    return [
        f'DRAIN: {len(late)} requests reached i-1 more than '
        f'{in_touch_s - acknowledged_s:.2f} s after its leaving was '
        f'acknowledged, the bound is {_DRAIN_S} s'
    ]


on.main(_case, __file__.rpartition('/')[0])
