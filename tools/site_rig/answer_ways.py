"""Ways in which a target answers: whole, spoiled, twice, without end."""

import asyncio
from collections.abc import Awaitable, Callable
from types import MappingProxyType

import msgspec

from tools.site_rig.endless import ENDLESS, Endless
from tools.site_rig.outlet import Outlet
from tools.site_rig.records import RunEnd
from tools.site_rig.replies import Reply

PLAIN = ''
_LATE_S = 0.3
_STALL_S = 0.5
_BEFORE_RESET_S = 0.02
_GARBAGE = b'\x16\x03\x01 no answer at all\r\n\r\n'
# 1000 Mbit/s.
_LINK_BYTES_PER_S = 125_000_000

Sender = Callable[[Outlet, Reply], Awaitable[None]]


class Way(msgspec.Struct, frozen=True, kw_only=True):
    """How an answer is sent, and what its target notes as its end."""

    send: Sender
    end: RunEnd = RunEnd.ANSWERED


async def _send_plainly(outlet: Outlet, reply: Reply) -> None:
    outlet.write(reply.encode())


async def _send_nothing(outlet: Outlet, reply: Reply) -> None:
    """Leave the connection open: nothing comes on it any more."""
    await asyncio.get_running_loop().create_future()


async def _reset(outlet: Outlet, reply: Reply) -> None:
    outlet.reset()


async def _cut_head(outlet: Outlet, reply: Reply) -> None:
    outlet.write(reply.encode_head()[:-10])
    outlet.close()


async def _cut_body(outlet: Outlet, reply: Reply) -> None:
    outlet.write(reply.encode()[:-1])
    outlet.close()


async def _spoil(outlet: Outlet, reply: Reply) -> None:
    outlet.write(_GARBAGE + reply.encode())


async def _send_twice(outlet: Outlet, reply: Reply) -> None:
    outlet.write(reply.encode() * 2)


async def _send_twice_late(outlet: Outlet, reply: Reply) -> None:
    outlet.write(reply.encode())
    loop = asyncio.get_running_loop()
    loop.call_later(_LATE_S, outlet.write, reply.encode())


async def _stall(outlet: Outlet, reply: Reply) -> None:
    """Say nothing for a while in the middle of a body."""
    half = len(reply.body) // 2
    outlet.write(reply.encode_head() + reply.body[:half])
    await asyncio.sleep(_STALL_S)
    outlet.write(reply.body[half:])


async def _send_unframed(outlet: Outlet, reply: Reply) -> None:
    outlet.write(reply.encode_head(is_framed=False) + reply.body)
    outlet.close()


async def _reset_unframed(outlet: Outlet, reply: Reply) -> None:
    half = reply.body[: len(reply.body) // 2]
    outlet.write(reply.encode_head(is_framed=False) + half)
    await asyncio.sleep(_BEFORE_RESET_S)
    outlet.reset()


async def _flood(outlet: Outlet, kind: Endless) -> None:
    """Send as fast as a link allows until the connection ends."""
    outlet.write(kind.begin)
    for piece in kind.pieces():
        if outlet.is_closed:
            return
        outlet.write(piece)
        await asyncio.sleep(max(kind.pause_s, len(piece) / _LINK_BYTES_PER_S))
        await outlet.flow()


def _without_end(kind: Endless) -> Way:
    async def send(outlet: Outlet, reply: Reply) -> None:  # noqa: WPS430
        await _flood(outlet, kind)

    return Way(send=send, end=RunEnd.BROKE_OFF)


def endless_way(name: str) -> str:
    """Return the name of the way of an answer without end."""
    return f'endless {name}'


WAYS = MappingProxyType(
    {
        PLAIN: Way(send=_send_plainly),
        'lost': Way(send=_send_nothing, end=RunEnd.SILENT),
        'lost by reset': Way(send=_reset, end=RunEnd.BROKE_OFF),
        'cut head': Way(send=_cut_head, end=RunEnd.BROKE_OFF),
        'cut body': Way(send=_cut_body, end=RunEnd.BROKE_OFF),
        'spoiled': Way(send=_spoil, end=RunEnd.BROKE_OFF),
        'twice': Way(send=_send_twice),
        'twice late': Way(send=_send_twice_late),
        'stalled': Way(send=_stall),
        'unframed': Way(send=_send_unframed),
        'unframed reset': Way(send=_reset_unframed, end=RunEnd.BROKE_OFF),
        **{
            endless_way(name): _without_end(kind)
            for name, kind in ENDLESS.items()
        },
    }
)
