"""Memory and processor time of one core that knows a whole fleet."""

import time
import tracemalloc

import msgspec

from fescueknot.bench.gossipfleets import announcement, places
from fescueknot.identity import Address
from fescueknot.membership.announcements import Announcement
from fescueknot.membership.codec import DatagramCodec
from fescueknot.membership.core import MembershipCore
from fescueknot.membership.messages import Incoming, Outgoing
from fescueknot.membership.schedule import TICK_PERIOD_S
from fescueknot.randomness import seeded

ROUNDS = 400
_SOMEWHERE = Address(host='127.0.0.1', port=1)
_US_PER_S = 1_000_000


class CoreCosts(msgspec.Struct, frozen=True, kw_only=True):
    """Costs of a core that knows ``known`` instances.

    ``tick_us`` and ``exchange_us`` are processor time: of one tick, and of
    both sides of one idle exchange with encoding, signing and decoding.
    """

    known: int
    state_bytes_per_instance: float
    tick_us: float
    exchange_us: float
    reader_choice_us: float


def measure_costs(*, known: int) -> CoreCosts:
    """Fill two cores and measure them."""
    encoded = _encoded(known)
    tracemalloc.start()
    first = _filled(0, encoded)
    state_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    second = _filled(1, encoded)
    return CoreCosts(
        known=known,
        state_bytes_per_instance=round(state_bytes / known, 1),
        tick_us=round(_time_ticks(first), 1),
        exchange_us=round(_time_exchanges(first, second), 1),
        reader_choice_us=round(_time_readers(first), 1),
    )


def _encoded(known: int) -> bytes:
    where = places(regions=6, domains=13)
    return msgspec.json.encode(
        [
            announcement(number, place=where[number % len(where)])
            for number in range(known)
        ]
    )


def _filled(number: int, encoded: bytes) -> MembershipCore:
    """Return a core filled from JSON, as it would be from the network."""
    everybody = msgspec.json.decode(encoded, type=list[Announcement])
    core = MembershipCore(own=everybody[number], now_s=0)
    for other in everybody:
        core.view.merge_without_rumour(other, now_s=0)
    core.view.pop_changes()
    core.view.rumours.take(limit_bytes=1000)
    return core


def _time_ticks(core: MembershipCore) -> float:
    rng = seeded(seed=1)
    begun_s = time.process_time()
    for turn in range(ROUNDS):
        core.tick(now_s=turn * TICK_PERIOD_S, rng=rng)
    return (time.process_time() - begun_s) / ROUNDS * _US_PER_S


def _time_exchanges(first: MembershipCore, second: MembershipCore) -> float:
    rng = seeded(seed=2)
    codec = DatagramCodec(key=b'bench')
    begun_s = time.process_time()
    for turn in range(ROUNDS):
        now_s = turn * TICK_PERIOD_S
        sent = first.tick(now_s=now_s, rng=rng)[-1:]
        receivers = (second, first)
        for hop in range(4):
            sent = _carry(codec, sent, receivers[hop % 2], now_s)
    return (time.process_time() - begun_s) / ROUNDS * _US_PER_S


def _carry(
    codec: DatagramCodec,
    sent: tuple[Outgoing, ...],
    receiver: MembershipCore,
    now_s: float,
) -> tuple[Outgoing, ...]:
    rng = seeded(seed=3)
    answers: tuple[Outgoing, ...] = ()
    for outgoing in sent:
        message = codec.decode(codec.encode(outgoing.message))
        incoming = Incoming(source=_SOMEWHERE, message=message)
        answers += receiver.receive(incoming, now_s=now_s, rng=rng)
    return answers


def _time_readers(core: MembershipCore) -> float:
    begun_s = time.process_time()
    for _ in range(ROUNDS):
        core.reader_choice.readers()
    return (time.process_time() - begun_s) / ROUNDS * _US_PER_S
