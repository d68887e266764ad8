"""The connections of a process, and what the page of its host does to them."""

import contextlib
import socket

import msgspec
import pytest

from tools.site_rig.link_pages import LinkPage, Strike
from tools.site_rig.node_links import NodeLinks, is_struck

HERE, THERE = '127.9.3.1', '127.9.3.2'
PAGE = LinkPage(ip=HERE, delays_s={THERE: 0})
OTHER_PAGE = LinkPage(ip=THERE, delays_s={HERE: 0})
ALL = Strike(number=7, how='reset', share=1)
_PACING_RATE = 47


class Connection:
    """Both ends of a connection between two hosts."""

    def __init__(self, opened: contextlib.ExitStack) -> None:
        listening = opened.enter_context(socket.socket())
        listening.bind((THERE, 0))
        listening.listen()
        self.near = opened.enter_context(socket.socket())
        self.near.bind((HERE, 0))
        self.near.connect(listening.getsockname())
        self.far = opened.enter_context(listening.accept()[0])
        self.far.setblocking(False)
        self.near.setblocking(False)


@pytest.fixture
def opened():
    with contextlib.ExitStack() as stack:
        yield stack


def links_of(*connections: Connection, page: LinkPage = PAGE) -> NodeLinks:
    links = NodeLinks(page=page)
    for connection in connections:
        links.connect(connection.near)
    return links


def state_of(sock: socket.socket) -> str:
    """Return whether a connection is open, idle or reset."""
    try:
        return 'ended' if sock.recv(9) == b'' else 'heard'
    except BlockingIOError:
        return 'idle'
    except ConnectionResetError:
        return 'reset'


class TestStrikes:
    """Connections that end at once."""

    # Guards against a reset that only one side notices.
    def test_reset(self, opened):
        connection = Connection(opened)
        links = links_of(connection)

        links.turn(msgspec.structs.replace(PAGE, strikes=(ALL,)))

        assert state_of(connection.near) == 'reset'
        assert state_of(connection.far) == 'reset'

    # Guards against a strike that goes on, or comes from before the start.
    def test_once(self, opened):
        struck = msgspec.structs.replace(PAGE, strikes=(ALL,))
        connection = Connection(opened)
        links = links_of(connection, page=struck)

        links.turn(struck)

        assert state_of(connection.near) == 'idle'
        later = Strike(number=8, how='reset', share=1)
        links.turn(msgspec.structs.replace(PAGE, strikes=(ALL, later)))
        assert state_of(connection.near) == 'reset'

    # Guards against silence that heals, or is heard.
    def test_silence(self, opened):
        connection = Connection(opened)
        links = links_of(connection)
        silence = msgspec.structs.replace(ALL, how='silence')

        links.turn(msgspec.structs.replace(PAGE, strikes=(silence,)))
        links.turn(PAGE)
        connection.far.send(b'unheard')

        assert state_of(connection.near) == 'idle'

    # Guards against new connections that go silent with the old ones.
    def test_new_ones_work(self, opened):
        links = links_of(Connection(opened))
        silence = msgspec.structs.replace(ALL, how='silence')
        links.turn(msgspec.structs.replace(PAGE, strikes=(silence,)))
        later = Connection(opened)
        links.connect(later.near)
        later.far.send(b'heard')

        assert state_of(later.near) == 'heard'

    # Guards against a strike at links that it is not about.
    @pytest.mark.parametrize(
        ('only', 'state'), [(THERE, 'reset'), ('127.9.3.3', 'idle')]
    )
    def test_others(self, opened, only, state):
        connection = Connection(opened)
        links = links_of(connection)
        strike = msgspec.structs.replace(ALL, only=(only,))

        links.turn(msgspec.structs.replace(PAGE, strikes=(strike,)))

        assert state_of(connection.near) == state

    # Guards against clients whose connections end: no link is theirs.
    def test_clients(self, opened):
        connection = Connection(opened)
        links = NodeLinks(page=LinkPage(ip=HERE))
        links.connect(connection.near)

        links.turn(LinkPage(ip=HERE, strikes=(ALL,)))

        assert state_of(connection.near) == 'idle'

    # Guards against ends that choose different connections.
    def test_both_ends_agree(self, opened):
        half = msgspec.structs.replace(ALL, share=0.5)
        connections = [Connection(opened) for _ in range(30)]

        chosen = [is_struck(each.near, half) for each in connections]

        assert chosen == [is_struck(each.far, half) for each in connections]
        assert 3 < sum(chosen) < 27


class TestPage:
    """Pages that change."""

    # Guards against a cut of which open connections know nothing.
    def test_cut(self, opened):
        connection = Connection(opened)
        links = links_of(connection)

        links.turn(msgspec.structs.replace(PAGE, deaf_to=(THERE,)))
        connection.far.send(b'unheard')

        assert state_of(connection.near) == 'idle'

    # Guards against a connection that is opened behind a cut, and heard.
    def test_opened_behind_a_cut(self, opened):
        connection = Connection(opened)
        links_of(
            connection, page=msgspec.structs.replace(PAGE, deaf_to=(THERE,))
        )
        connection.far.send(b'unheard')

        assert state_of(connection.near) == 'idle'

    # Guards against a listener that hears those who are cut off.
    def test_listener(self, opened):
        listening = opened.enter_context(socket.socket())
        listening.bind((HERE, 0))
        listening.listen()
        links = NodeLinks(page=PAGE)
        links.guard(listening)
        links.turn(msgspec.structs.replace(PAGE, deaf_to=(THERE,)))
        caller = opened.enter_context(socket.socket())
        caller.bind((THERE, 0))
        caller.setblocking(False)

        assert caller.connect_ex(listening.getsockname())
        listening.setblocking(False)
        with pytest.raises(BlockingIOError):
            listening.accept()

    # Guards against a link that stays narrow, or was never.
    def test_rate(self, opened):
        connection = Connection(opened)
        links = links_of(connection)
        narrow = msgspec.structs.replace(PAGE, rates_mbps={THERE: 8})

        links.turn(narrow)
        assert _rate(connection.near) == 1_000_000
        links.turn(PAGE)
        assert _rate(connection.near) > 1_000_000_000

    # Guards against a page that fails where sockets were closed meanwhile.
    def test_closed(self, opened):
        connection = Connection(opened)
        links = links_of(connection)
        connection.near.close()

        links.turn(msgspec.structs.replace(PAGE, strikes=(ALL,)))

        assert connection.near.fileno() < 0


def _rate(sock: socket.socket) -> int:
    return sock.getsockopt(socket.SOL_SOCKET, _PACING_RATE) & 0xFFFFFFFF
