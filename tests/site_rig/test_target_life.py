"""Lives of the rig's targets: how they leave, end and fall silent."""

import asyncio
import errno
import select
import socket
from types import SimpleNamespace

import pytest

from tests.site_rig.small_site import small_hosts
from tools.site_rig.replies import Reply
from tools.site_rig.scene import Disruption
from tools.site_rig.target_connection import App, Arrival
from tools.site_rig.target_life import Leaving, TargetLife
from tools.site_rig.target_life_player import TargetLifePlayer, leaving_of
from tools.site_rig.target_server import TargetServer

_MODULE = 'tools.site_rig.target_life'
_IP = '127.9.1.77'
_CALL = b'GET /a HTTP/1.1\r\nhost: a\r\n\r\n'
_OPEN = (0, errno.EINPROGRESS)


class Beats:
    """Heartbeats that are acknowledged or not."""

    def __init__(self, *, target, slots: int) -> None:
        self.told: list[str] = []
        self.is_acknowledged = True
        self._target = target

    async def run(self) -> None:
        """Send nothing in the background."""

    async def tell(self) -> bool:
        state = 'draining' if self._target.is_leaving else 'ready'
        self.told.append(state)
        return self.is_acknowledged

    async def leave(self) -> bool:
        self.told.append('left')
        return self.is_acknowledged


class Address:
    """An address that is served or not."""

    def __init__(self, **options) -> None:
        self.is_open = False

    async def open(self) -> None:
        self.is_open = True

    def close(self) -> None:
        self.is_open = False


class Stand:
    """A life whose heartbeats and address are played."""

    def __init__(self, monkeypatch) -> None:
        monkeypatch.setattr(f'{_MODULE}.Heartbeats', self._beats)
        monkeypatch.setattr(f'{_MODULE}.TargetServer', self._address)
        monkeypatch.setattr(f'{_MODULE}._PATIENCE_S', 0)
        monkeypatch.setattr(f'{_MODULE}._AGAIN_S', 0)
        self.target = SimpleNamespace(
            host=small_hosts()[0], is_leaving=False, is_down=False
        )
        self.life = TargetLife(target=self.target, slots=2)

    def leave(self, *, is_abrupt: bool) -> None:
        """Live and leave."""

        async def lived() -> None:
            await self.life.begin()
            assert self.address.is_open
            leaving = Leaving(drain_s=0, serves_on_s=0, is_abrupt=is_abrupt)
            await self.life.leave(leaving)

        asyncio.run(lived())

    def take_away(self, after_s: float, *, is_acknowledged: bool) -> None:
        """Live, be given notice and be gone."""

        async def lived() -> None:
            await self.life.begin()
            self.beats.is_acknowledged = is_acknowledged
            await self.life.leave(
                Leaving(drain_s=9, serves_on_s=9, gone_after_s=after_s)
            )
            told = len(self.beats.told)
            await turns()
            assert len(self.beats.told) == told

        asyncio.run(lived())

    def _beats(self, **options) -> Beats:
        self.beats = Beats(**options)
        return self.beats

    def _address(self, **options) -> Address:
        self.address = Address(**options)
        return self.address


@pytest.fixture
def stand(monkeypatch):
    return Stand(monkeypatch)


class TestLeave:
    """A target that leaves."""

    # Guards against targets that leave in another way than the users' do.
    @pytest.mark.parametrize(
        ('is_abrupt', 'told'),
        [(False, ['draining', 'left']), (True, ['left'])],
    )
    def test_order(self, stand, is_abrupt, told):
        stand.leave(is_abrupt=is_abrupt)

        assert stand.beats.told == told
        assert stand.target.is_leaving is not is_abrupt
        assert stand.target.is_down
        assert not stand.address.is_open

    # Guards against a target that stays for ever without an answer.
    @pytest.mark.parametrize('is_abrupt', [False, True])
    def test_unacknowledged(self, stand, is_abrupt):
        stand.beats.is_acknowledged = False

        stand.leave(is_abrupt=is_abrupt)

        assert not stand.address.is_open


class Echo(App):
    """Answers everything at once."""

    async def answer(self, arrival: Arrival) -> Reply:
        return Reply(status=200, headers={})

    def reject_early(self, arrival: Arrival) -> None:
        """Reject nothing."""


class Peer:
    """Connections to a server of the rig; none of them waits."""

    def __init__(self) -> None:
        self.server = TargetServer(app=Echo(), ip=_IP, port=0)
        self.address = None

    async def open(self) -> socket.socket:
        """Open the server and a connection to it."""
        await self.server.open()
        self.address = self.server.address
        return self.connect()

    def connect(self) -> socket.socket:
        """Begin to connect."""
        connection = socket.socket()
        connection.setblocking(False)
        self.status = connection.connect_ex(self.address)
        return connection

    def is_connected(self, connection: socket.socket) -> bool:
        """Tell whether a connection is made."""
        return bool(select.select([], [connection], [], 0)[1])


async def turns() -> None:
    for _ in range(20):
        await asyncio.sleep(0)


class TestNotice:
    """A target that is taken away soon after a notice."""

    # Guards against targets that leave unannounced, or drain to the end.
    @pytest.mark.parametrize('is_acknowledged', [True, False])
    def test_gone(self, stand, monkeypatch, is_acknowledged):
        monkeypatch.setattr(f'{_MODULE}._PATIENCE_S', 60)

        stand.take_away(0.05, is_acknowledged=is_acknowledged)

        assert set(stand.beats.told) == {'draining'}
        assert (len(stand.beats.told) == 1) is is_acknowledged
        assert stand.target.is_down
        assert stand.life.has_left
        assert not stand.address.is_open

    # Guards against mixing up the ways to leave.
    @pytest.mark.parametrize(
        ('how', 'leaving'),
        [
            ('', Leaving(drain_s=2, serves_on_s=3)),
            ('abrupt', Leaving(drain_s=2, serves_on_s=3, is_abrupt=True)),
            ('notice', Leaving(drain_s=0, serves_on_s=0, gone_after_s=3)),
        ],
    )
    def test_ways(self, how, leaving):
        left = Disruption(at_s=1, kind='leave', how=how, for_s=3)

        assert leaving_of(left, drain_s=2) == leaving


class Group:
    """A group of targets that notes what is started."""

    def __init__(self, folder) -> None:
        host = small_hosts()[0]
        self.started: list[str] = []
        self.found = SimpleNamespace(
            has_left=False,
            target=SimpleNamespace(host=host),
            darken=lambda: None,
            end=lambda: None,
        )
        self.member = SimpleNamespace(
            group=host.group,
            scene=SimpleNamespace(
                folder=str(folder), host_named=lambda name: host
            ),
            records=SimpleNamespace(add=lambda record: None),
        )

    def life(self, host) -> SimpleNamespace:
        return self.found

    async def start(self, host) -> None:
        self.started.append(host.name)


class TestPower:
    """A target whose machine loses power for a while."""

    # Guards against targets that come back where they are gone for good.
    @pytest.mark.parametrize(
        ('event', 'starts'), [('', 1), ('left', 0), ('replaced', 0)]
    )
    def test_comes_back(self, tmp_path, event, starts):
        group = Group(tmp_path)
        player = TargetLifePlayer(group=group)
        crash = Disruption(at_s=1, kind='crash', how='dark', for_s=0.01)

        async def struck() -> None:
            striking = asyncio.ensure_future(player.play(crash))
            await asyncio.sleep(0)
            group.found.has_left = event == 'left'
            if event == 'replaced':
                group.found = SimpleNamespace(has_left=False)
            await striking

        asyncio.run(struck())

        assert len(group.started) == starts

    # Guards against a target that speaks while its machine has no power.
    def test_leaves_meanwhile(self, stand):
        stand.target.is_down = True

        stand.leave(is_abrupt=False)

        assert not stand.beats.told
        assert stand.life.has_left


class TestServer:
    """The address of a target."""

    # Guards against silence that the other side can tell from a slow target.
    def test_dark(self):
        async def darkened() -> None:
            peer = Peer()
            first = await peer.open()
            await turns()
            peer.server.darken()
            first.send(_CALL)
            later = peer.connect()
            await turns()

            assert not select.select([first], [], [], 0)[0]
            assert peer.status in _OPEN
            assert not peer.is_connected(later)
            peer.server.close()

        asyncio.run(darkened())

    # Guards against a dark server that was never open.
    def test_open(self):
        async def opened() -> None:
            peer = Peer()
            first = await peer.open()
            await turns()
            first.send(_CALL)
            await turns()

            assert first.recv(99).startswith(b'HTTP/1.1 200')
            assert peer.is_connected(peer.connect())
            peer.server.close()

        asyncio.run(opened())

    # Guards against an end that leaves connections open.
    def test_closed(self):
        async def closed() -> None:
            peer = Peer()
            first = await peer.open()
            await turns()
            peer.server.close()
            await turns()
            assert first.recv(99) == b''
            with pytest.raises(ConnectionRefusedError), socket.socket() as last:
                last.connect(peer.address)

        asyncio.run(closed())
