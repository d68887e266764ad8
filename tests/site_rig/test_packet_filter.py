"""Filters that drop packets by the host they come from, in the kernel."""

import contextlib
import socket
from collections.abc import Iterator

import pytest

from tools.site_rig.link_pages import LinkPage
from tools.site_rig.packet_filter import SILENCE, filter_of, instructions_of

HERE = '127.9.2.1'
CUT, LOSSY, SOUND = '127.9.2.2', '127.9.2.3', '127.9.2.4'
EVERY_OTHER = 0.5
_MOST = 200


@pytest.fixture
def heard():
    with contextlib.ExitStack() as opened:
        receiver = opened.enter_context(_port(HERE))

        def send_from(*hosts: str, size_bytes: int = 1) -> list[str]:
            for host in hosts:
                with _port(host) as sender:
                    sender.sendto(bytes(size_bytes), receiver.getsockname())
            return list(_senders(receiver))

        yield receiver, send_from


def _port(host: str) -> socket.socket:
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setblocking(False)
    opened.bind((host, 0))
    return opened


def _senders(receiver: socket.socket) -> Iterator[str]:
    with contextlib.suppress(BlockingIOError):
        for _ in range(_MOST):
            yield receiver.recvfrom(1)[1][0]


class TestFilter:
    """What arrives at a socket with a filter."""

    # Guards against a cut that drops others' packets, or none.
    def test_cut(self, heard):
        receiver, send_from = heard
        filter_of(LinkPage(ip=HERE, deaf_to=(CUT,))).put_on(receiver)

        assert send_from(CUT, SOUND, CUT, LOSSY) == [SOUND, LOSSY]

    # Guards against two cuts of which one is heard.
    def test_two_cuts(self, heard):
        receiver, send_from = heard
        filter_of(LinkPage(ip=HERE, deaf_to=(CUT, LOSSY))).put_on(receiver)

        assert send_from(CUT, SOUND, LOSSY) == [SOUND]

    # Guards against losses that are cuts, or that others have too.
    def test_loss(self, heard):
        receiver, send_from = heard
        page = LinkPage(ip=HERE, losses={LOSSY: EVERY_OTHER})
        filter_of(page).put_on(receiver)

        senders = send_from(*(LOSSY, SOUND) * 60)

        assert senders.count(SOUND) == 60
        assert 5 < senders.count(LOSSY) < 55

    # Guards against long packets, which loopback does not cut, that are lost as
    # seldom as short ones.
    def test_loss_of_long_ones(self, heard):
        receiver, send_from = heard
        page = LinkPage(ip=HERE, losses={LOSSY: EVERY_OTHER})
        filter_of(page).put_on(receiver)

        senders = send_from(*(LOSSY, SOUND) * 20, size_bytes=6000)

        assert senders.count(SOUND) == 20
        assert senders.count(LOSSY) < 10

    # Guards against a second lossy link that loses nothing.
    def test_two_losses(self, heard):
        receiver, send_from = heard
        page = LinkPage(ip=HERE, losses={LOSSY: EVERY_OTHER, CUT: 1})
        filter_of(page).put_on(receiver)

        assert send_from(CUT, SOUND, CUT) == [SOUND]

    # Guards against a lossy link that loses all, or nothing.
    @pytest.mark.parametrize(('share', 'count'), [(0, 20), (1, 0)])
    def test_bounds_of_loss(self, heard, share, count):
        receiver, send_from = heard
        filter_of(LinkPage(ip=HERE, losses={LOSSY: share})).put_on(receiver)

        assert len(send_from(*(LOSSY,) * 20)) == count

    # Guards against a cut that never heals, and a sound socket that fails.
    def test_healed(self, heard):
        receiver, send_from = heard
        filter_of(LinkPage(ip=HERE)).put_on(receiver)
        filter_of(LinkPage(ip=HERE, deaf_to=(CUT,))).put_on(receiver)
        filter_of(LinkPage(ip=HERE)).put_on(receiver)

        assert send_from(CUT, SOUND) == [CUT, SOUND]

    # Guards against silence that lets something through.
    def test_silence(self, heard):
        receiver, send_from = heard
        SILENCE.put_on(receiver)

        assert send_from(CUT, SOUND) == []

    # Guards against a filter, which costs time, where nothing is wrong.
    def test_nothing_wrong(self):
        assert instructions_of((), {}) == []
