"""The links of a run: the pages of hosts while links are harmed."""

import contextlib
import socket

import msgspec
import pytest

from tests.site_rig.small_site import small_hosts
from tools.site_rig.link_pages import POKE_PORT, LinkPage, read_page
from tools.site_rig.links import Harm, Links
from tools.site_rig.site import Net

NET = Net(cross_zone_ms=0.5, cross_region_ms=20)
FIRST, SECOND, THIRD = (
    msgspec.structs.replace(host, zone=zone, region=region)
    for host, (zone, region) in zip(
        small_hosts(), (('a', 'r'), ('b', 'r'), ('c', 's')), strict=False
    )
)
CUT = Harm(
    senders=frozenset((FIRST.name, SECOND.name)),
    receivers=frozenset((SECOND.name,)),
    loss=1,
)


@pytest.fixture
def links(tmp_path):
    made = Links(net=NET, hosts=(FIRST, SECOND, THIRD), folder=tmp_path)
    yield made
    made.close()


class TestDelays:
    """Delays between hosts."""

    # Guards against links without delay, or with another's.
    def test_delays(self, links):
        assert links.page(FIRST).delays_s == {
            SECOND.ip: 0.0005,
            THIRD.ip: 0.02,
        }
        assert links.page(THIRD).delays_s == {FIRST.ip: 0.02, SECOND.ip: 0.02}

    # Guards against a delay within a failure domain.
    def test_one_zone(self, tmp_path):
        neighbour = msgspec.structs.replace(SECOND, zone=FIRST.zone)
        links = Links(net=NET, hosts=(FIRST, neighbour), folder=tmp_path)

        assert links.page(FIRST).delays_s == {neighbour.ip: 0}

    # Guards against delays that are left out without a word, or said to be.
    def test_left_out(self):
        net = Net(
            in_zone_ms=0.2, cross_zone_ms=0.5, cross_region_ms=20, client_ms=3
        )

        assert net.not_played == (
            'in_zone_ms between nodes (0.2)',
            'cross_region_ms to the store (20)',
        )
        assert not Net().not_played


class TestHarms:
    """What is wrong with links."""

    # Guards against a cut at other hosts, in the other direction, or at home.
    def test_cut(self, links):
        with links.harmed(CUT):
            assert links.page(SECOND).deaf_to == (FIRST.ip,)
            assert not links.page(SECOND).losses
            assert not links.page(FIRST).deaf_to
            assert not links.page(THIRD).deaf_to

        assert not links.page(SECOND).deaf_to

    # Guards against a cut that ends with the first of two.
    def test_two_cuts(self, links):
        with links.harmed(CUT):
            with links.harmed(CUT):
                assert links.page(SECOND).deaf_to
            assert links.page(SECOND).deaf_to

    # Guards against lossy links that are cut.
    def test_loss(self, links):
        lossy = msgspec.structs.replace(CUT, loss=0.03)

        with links.harmed(lossy):
            page = links.page(SECOND)

        assert page.losses == {FIRST.ip: 0.03}
        assert not page.deaf_to

    # Guards against refusals in the other direction.
    def test_refusal(self, links):
        with links.harmed(msgspec.structs.replace(CUT, refuses=True)):
            assert links.page(SECOND).refused_by == (FIRST.ip,)
            assert not links.page(FIRST).refused_by

    # Guards against a narrow link to the host's own target.
    def test_rate(self, links):
        narrow = msgspec.structs.replace(CUT, loss=0, rate_mbps=9)

        with links.harmed(narrow):
            assert links.page(FIRST).rates_mbps == {SECOND.ip: 9}
            assert not links.page(SECOND).rates_mbps
            assert not links.page(SECOND).losses


class TestStrikes:
    """Connections that end at once."""

    # Guards against ends of one connection that are struck as two.
    def test_all_of_some(self, links):
        links.strike((FIRST.name,), (), 'reset', 0.5)

        pages = [links.page(host) for host in (FIRST, SECOND, THIRD)]
        strikes = [page.strikes[0] for page in pages]
        assert {strike.number for strike in strikes} == {1}
        assert {strike.share for strike in strikes} == {0.5}
        assert [strike.only for strike in strikes] == [
            (),
            (FIRST.ip,),
            (FIRST.ip,),
        ]

    # Guards against a strike beside the links it is about.
    def test_between_two(self, links):
        links.strike((FIRST.name,), (SECOND.name,), 'reset', 1)

        assert links.page(FIRST).strikes[0].only == (SECOND.ip,)
        assert links.page(SECOND).strikes[0].only == (FIRST.ip,)
        assert not links.page(THIRD).strikes


class TestTelling:
    """How processes hear of changes."""

    # Guards against a harm that is not told, or told before it is written.
    def test_told(self, links, tmp_path):
        with contextlib.closing(_port(SECOND.ip)) as port:
            with links.harmed(CUT):
                told = port.recv(64)
                page = read_page(tmp_path / f'{SECOND.name}.links')
            told_again = port.recv(64)

        assert told
        assert told_again
        assert page.deaf_to == (FIRST.ip,)
        healed = read_page(tmp_path / f'{SECOND.name}.links')
        assert healed == links.page(SECOND)
        assert not healed.deaf_to

    # Guards against a start without a page.
    def test_first_page(self, links, tmp_path):
        links.write(THIRD)

        page = read_page(tmp_path / f'{THIRD.name}.links')
        assert page == LinkPage(
            ip=THIRD.ip, delays_s={FIRST.ip: 0.02, SECOND.ip: 0.02}
        )


def _port(ip: str) -> socket.socket:
    port = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    port.bind((ip, POKE_PORT))
    return port
