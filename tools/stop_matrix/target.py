"""A target whose work is told by the path of the request."""

import asyncio
import secrets
import time

import msgspec

from fescueknot.httpio.client import Client as HttpClient
from fescueknot.httpio.client_connection import ClientSettings
from fescueknot.httpio.errors import HttpIoError
from fescueknot.httpio.messages import Request
from fescueknot.identity import Address
from fescueknot.platform.headers import PLATFORM_HEADERS as NAMES
from tools.site_rig.records import RecordFile, RunEnd, RunRecord
from tools.site_rig.replies import Reply
from tools.site_rig.scene import Host
from tools.site_rig.target_connection import App, Arrival
from tools.stop_matrix.client import Ask, Client
from tools.stop_matrix.target_side import MatrixConnection

_SLOTS = 400
_MS_PER_S = 1000
_BEAT_INTERVAL_S = 1.5
_DEFAULT_DEADLINE_MS = 6000
_BODY_BYTES = 100
_CALLS = 2
_RUN_ID_BYTES = 4
_PAUSE_S = 0.1
_OK = 200
_FAILED = 500
_TOO_LATE = 504
_WRONG_TARGET = 421


class MatrixTarget(App):
    """Works ``w`` milliseconds, answers ``s`` bytes, or calls first.

    A run ends when its whole answer has been handed to the kernel.
    """

    def __init__(
        self, *, host: Host, records: RecordFile, caller: Client
    ) -> None:
        self.says_close = False
        self._host = host
        self._instance = f'i-{host.name}'
        self._state = 'ready'
        self._records = records
        self._caller = caller
        self._born_ms = int(time.time() * _MS_PER_S)
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._connections: list[MatrixConnection] = []
        self._is_ended = False

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.get_running_loop().create_server(
            self._connection, self._host.ip, self._host.target_port
        )

    def end(self) -> None:
        """End as a process does: its connections close."""
        self._is_ended = True
        self._server.close()
        for connection in self._connections:
            connection.abort()

    async def announce(self) -> None:
        """Send heartbeats until the end."""
        while not self._is_ended:
            await self._beat()
            await asyncio.sleep(_BEAT_INTERVAL_S)

    async def drain(self) -> None:
        """Tell that it leaves soon."""
        self._state = 'draining'
        await self._beat()

    async def leave(self) -> None:
        """Tell that it is gone."""
        await self._tell('DELETE', b'')

    async def answer(self, arrival: Arrival) -> Reply:
        """Run one request."""
        attempt = arrival.headers.get(NAMES.attempt, '')
        headers = {NAMES.attempt: attempt, NAMES.signature: self._instance}
        expected = arrival.headers.get(NAMES.expected_instance)
        if expected not in (None, self._instance):
            headers[NAMES.not_executed] = '1'
            return Reply(status=_WRONG_TARGET, headers=headers)
        if self.says_close:
            headers['connection'] = 'close'
        status, size = await self._work(arrival, attempt)
        return Reply(status=status, headers=headers, body=b'x' * size)

    def reject_early(self, arrival: Arrival) -> None:
        """Take every body."""

    def note(
        self, arrival: Arrival, began_s: float, end: RunEnd, status: int
    ) -> None:
        """Note a run that has ended."""
        is_broken = end is RunEnd.CUT and self._is_ended
        self._records.add(
            RunRecord(
                attempt=arrival.headers.get(NAMES.attempt, ''),
                target=self._host.name,
                arrived_s=began_s,
                began_s=began_s,
                ended_s=time.monotonic(),
                end=RunEnd.BROKE_OFF if is_broken else end,
                status=status,
            )
        )

    async def _work(self, arrival: Arrival, attempt: str) -> tuple[int, int]:
        """Do what the path says; return the status and the size."""
        _, kind, how, _ = arrival.path.split('/')
        given_ms = float(
            arrival.headers.get(NAMES.remaining_ms, _DEFAULT_DEADLINE_MS)
        )
        amount = int(how[1:])
        if how.startswith('s'):
            return _OK, amount
        if kind == 'call':
            return await self._call(attempt, amount, given_ms), _BODY_BYTES
        await asyncio.sleep(min(amount, given_ms) / _MS_PER_S)
        return _TOO_LATE if amount > given_ms else _OK, _BODY_BYTES

    async def _call(self, attempt: str, amount: int, given_ms: float) -> int:
        """Call one after the other, with a little work before each."""
        ends_s = time.monotonic() + given_ms / _MS_PER_S
        run = secrets.token_hex(_RUN_ID_BYTES)
        for number in range(_CALLS):
            await asyncio.sleep(_PAUSE_S)
            left_ms = int((ends_s - time.monotonic()) * _MS_PER_S)
            call = Ask(
                path=f'/inner/w{amount}/1',
                attempt=f'{attempt}-{run}-{number}',
                deadline_ms=max(left_ms, 1),
            )
            connection = await self._caller.open()
            exchange = await self._caller.ask(connection, call)
            if exchange is None or exchange.answer.status != _OK:
                return _FAILED
        return _OK

    async def _beat(self) -> None:
        self._sequence += 1
        body = {
            'service': self._host.service,
            'address': self._host.target,
            'zone': self._host.zone,
            'version': 'v1',
            'slots': _SLOTS,
            'state': self._state,
            'warmupLeftMs': 0,
            'seq': self._sequence,
            'born': self._born_ms,
        }
        await self._tell('PUT', msgspec.json.encode(body))

    async def _tell(self, method: str, body: bytes) -> None:
        client = HttpClient(
            address=Address(
                host=self._host.ip, port=self._host.port('heartbeats')
            ),
            settings=ClientSettings(connect_timeout_s=1),
        )
        request = Request(
            method=method,
            target=f'/v1/instances/{self._instance}',
            headers=(('host', 'node'),),
            body=body,
        )
        try:
            await asyncio.wait_for(client.exchange(request), 1)
        except (HttpIoError, TimeoutError):
            # The node is away; the next one is told all the same.
            self._sequence += 1
        client.close()

    def _connection(self) -> MatrixConnection:
        connection = MatrixConnection(app=self, note=self.note)
        self._connections.append(connection)
        return connection
