"""What clients do, each from before the trouble until after the stop."""

import asyncio
import functools
import types
from collections.abc import Awaitable, Callable

from tools.stop_matrix.client import Ask, Client

FIRST_S = -2.0
LAST_S = 7.5
_AGAIN_S = 0.02
_LATE_STEP_S = 0.05
_LATE_USES = 130
_PIPELINED = 3
_READ_S = 4.0
_EARLY_S = (-0.3, 0.5)
_LATE_S = (1.0, 2.0, 2.7)
_BODY = b'b' * 2000
_LONG_BODY = b'b' * 400_000
_SHORT = Ask(path='/browse/w20/1')

Behaviour = Callable[[Client], Awaitable[None]]


async def at_each(
    client: Client, step_s: float, work: Callable[..., Awaitable[None]]
) -> None:
    """Begin work at each step."""
    tasks = []
    for step in range(int((LAST_S - FIRST_S) / step_s)):
        await client.until(FIRST_S + step * step_s)
        tasks.append(asyncio.ensure_future(work(client)))
    await asyncio.gather(*tasks)


async def open_and_ask(
    client: Client, ask: Ask, pause_s: float = 0, bytes_per_s: float = 0
) -> None:
    """Use a new connection once, after a pause."""
    connection = await client.open(bytes_per_s=bytes_per_s)
    await asyncio.sleep(pause_s)
    await client.ask(connection, ask)
    if connection is not None:
        connection.close()


async def keep_asking(
    client: Client, ask: Ask, pause_s: float, pipelined: int = 1
) -> None:
    """Use a connection until it closes, then the next one."""
    await client.until(FIRST_S)
    connection = None
    while client.now_s < LAST_S:
        if connection is None or not connection.is_usable:
            connection = await client.open()
        asks = [client.ask(connection, ask) for _ in range(pipelined)]
        await asyncio.gather(*asks)
        await asyncio.sleep(_AGAIN_S if connection is None else pause_s)


async def use_first_late(client: Client) -> None:
    """Open connections early and use each of them once, later."""
    await client.until(FIRST_S)
    await asyncio.gather(
        *(
            open_and_ask(client, _SHORT, step * _LATE_STEP_S - FIRST_S)
            for step in range(_LATE_USES)
        )
    )


async def read_at(
    client: Client, ask: Ask, bytes_per_s: float, times_s: tuple[float, ...]
) -> None:
    """Read long answers slowly, asked for at a few moments."""
    readers = []
    for at_s in times_s:
        await client.until(at_s)
        readers.append(
            asyncio.ensure_future(
                open_and_ask(client, ask, bytes_per_s=bytes_per_s)
            )
        )
    await asyncio.gather(*readers)


async def half_close_kept(client: Client) -> None:
    """Use a connection three times, and half-close behind the last."""
    connection = await client.open()
    await client.ask(connection, _SHORT)
    await client.ask(connection, _SHORT)
    last = Ask(path='/browse/w300/1', half_closes=True)
    await client.ask(connection, last)


async def half_close_later(client: Client) -> None:
    """Half-close while the target is at work."""
    connection = await client.open()
    if connection is not None:
        loop = asyncio.get_running_loop()
        loop.call_later(0.2, connection.end_sending)
        await client.ask(connection, Ask(path='/once/w600/1'))


def _kept(path: str, pause_s: float, pipelined: int = 1) -> Behaviour:
    return functools.partial(
        keep_asking, ask=Ask(path=path), pause_s=pause_s, pipelined=pipelined
    )


def _opened(
    path: str, step_s: float, pause_s: float = 0, **more: object
) -> Behaviour:
    work = functools.partial(
        open_and_ask, ask=Ask(path=path, **more), pause_s=pause_s
    )
    return functools.partial(at_each, step_s=step_s, work=work)


def _readers(
    size_bytes: int, number: int, times_s: tuple[float, ...]
) -> Behaviour:
    """Return clients that ask at each of the moments and take 4 s to read."""
    return functools.partial(
        read_at,
        ask=Ask(path=f'/browse/s{size_bytes}/1'),
        bytes_per_s=size_bytes / _READ_S,
        times_s=tuple(sorted(times_s * number)),
    )


_PIECES = ((0.15, b'b' * 200),) * 10
_CHUNKS = ((0, b'5\r\nhello\r\n'), (0.3, b'5\r\nagain\r\n0\r\n\r\n'))
_UPGRADE = (
    'connection: upgrade, http2-settings\r\n'
    'upgrade: h2c\r\nhttp2-settings: AAEAAEAAAAIAAAAA\r\n'
)
BEHAVIOURS = types.MappingProxyType(
    {
        'kept': _kept('/browse/w20/1', 0.01),
        'kept_once': _kept('/once/w20/1', 0.01),
        'kept_work': _kept('/once/w600/1', 0.01),
        'rest': _kept('/browse/w20/1', 0.23),
        'long_rest': _kept('/browse/w20/1', 0.8),
        'pipeline': _kept('/browse/w150/1', 0.05, _PIPELINED),
        'pipeline_once': _kept('/once/w100/1', 0.05, _PIPELINED),
        'work_3': _opened('/browse/w3000/1', 0.2),
        'work_4': _opened('/once/w4000/1', 0.2),
        'work_5': _opened('/once/w4900/1', 0.2),
        'calls': _opened('/call/w200/1', 0.1),
        'calls_1': _opened('/call/w1500/1', 0.2),
        'calls_3': _opened('/call/w3000/1', 0.3),
        'first_late': use_first_late,
        'opened': _opened('/browse/w20/1', 0.05),
        'opened_late': _opened('/once/w20/1', 0.1, 0.3),
        'opened_later': _opened('/browse/w20/1', 0.1, 1.2),
        'body': _opened('/once/w100/1', 0.1, parts=((0.3, _BODY),)),
        'slow_body': _opened('/once/w100/1', 0.2, parts=_PIECES),
        'upload': _opened('/once/w100/1', 0.4, parts=((0, _LONG_BODY),)),
        'chunked': _opened('/once/w100/1', 0.1, parts=_CHUNKS, is_chunked=True),
        'expect': _opened(
            '/browse/w300/1',
            0.2,
            parts=((0.05, _BODY),),
            more_headers='expect: 100-continue\r\n',
        ),
        'upgrade': _opened('/browse/w200/1', 0.1, more_headers=_UPGRADE),
        'last': _opened(
            '/browse/w50/1', 0.2, more_headers='connection: close\r\n'
        ),
        'readers': _readers(12_000_000, 5, _EARLY_S),
        'more_readers': _readers(12_000_000, 10, _EARLY_S),
        'late_readers': _readers(4_000_000, 10, _LATE_S),
        'endless': _opened('/browse/endless/1', 0.25),
        'half_close': _opened('/browse/w100/1', 0.3, half_closes=True),
        'half_close_kept': functools.partial(
            at_each, step_s=0.3, work=half_close_kept
        ),
        'half_close_later': functools.partial(
            at_each, step_s=0.3, work=half_close_later
        ),
    }
)
