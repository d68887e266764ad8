"""How disruptions of links begin and end."""

import asyncio
import contextlib
from collections.abc import Iterator
from types import SimpleNamespace

import pytest

from tools.site_rig.link_player import LinkPlayer
from tools.site_rig.scene import Disruption


class Played:
    """Notes what links and records are told."""

    def __init__(self) -> None:
        self.told: list = []

    @contextlib.contextmanager
    def harmed(self, *harms) -> Iterator[None]:
        self.told.append(f'harm {len(harms)}')
        yield
        self.told.append('heal')

    def strike(self, names, others, how, share) -> None:
        self.told.append((names, others, how, share))

    @contextlib.contextmanager
    def trouble(self, disruption: Disruption) -> Iterator[None]:
        self.told.append(f'trouble {disruption.host}')
        yield
        self.told.append(f'calm {disruption.host}')

    def play(self, **fields) -> list:
        """Play a disruption and return what was told."""
        stage = SimpleNamespace(links=self, trouble=self.trouble)
        disruption = Disruption(at_s=1, for_s=3, **fields)
        asyncio.run(LinkPlayer(stage=stage).play(disruption))
        return self.told


@pytest.fixture
def played(monkeypatch):
    made = Played()

    async def note(delay_s: float) -> None:
        made.told.append(delay_s)

    monkeypatch.setattr('tools.site_rig.link_player.asyncio.sleep', note)
    return made


class TestPlayer:
    """What is done, in its order."""

    # Guards against links that heal before the time, or late trouble.
    @pytest.mark.parametrize('kind', ['link_cut', 'lossy', 'link_squeeze'])
    def test_harm(self, played, kind):
        told = played.play(kind=kind, hosts=('a', 'b'), others=('c',))

        assert told == [
            'trouble a',
            'trouble b',
            'harm 2',
            3,
            'heal',
            'calm b',
            'calm a',
        ]

    # Guards against connections that outlive a cut which resets them.
    @pytest.mark.parametrize('how', ['reset', 'refuse'])
    def test_cut_that_resets(self, played, how):
        told = played.play(
            kind='link_cut', how=how, hosts=('a',), others=('c',)
        )

        assert told[1:4] == ['harm 2', (('a',), ('c',), 'reset', 1), 3]

    # Guards against a strike of others' connections, or one that lasts.
    @pytest.mark.parametrize('how', ['reset', 'silence'])
    def test_strike(self, played, how):
        told = played.play(kind='reset_conns', how=how, hosts=('a',), ratio=0.5)

        assert told == ['trouble a', (('a',), (), how, 0.5), 'calm a']
