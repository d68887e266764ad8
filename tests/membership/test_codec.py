"""Datagrams are taken only when signed with the shared key."""

import pytest

from fescueknot.bench.gossipfleets import Fleet, places
from fescueknot.identity import Address
from fescueknot.membership.codec import DatagramCodec
from fescueknot.membership.errors import (
    AuthenticationError,
    MalformedDatagramError,
)
from fescueknot.membership.messages import Incoming, Probe, TreeDigests
from fescueknot.randomness import seeded

_MALFORMED = MalformedDatagramError
_DIGESTS = tuple(range(16))
_NO_INDEXES = (-1, 256, 4096)
_SOMEBODY = Address(host='10.0.0.1', port=1)


def _signed(body: bytes, key: bytes) -> bytes:
    signature = DatagramCodec(key=key)._sign(body)
    return b''.join((signature, body))


class TestCodec:
    """Only datagrams signed with the shared key are taken."""

    def test_a_message_survives(self):
        codec = DatagramCodec(key=b'shared')
        probe = Probe(name='a', incarnation=1, nonce=7)
        assert codec.decode(codec.encode(probe)) == probe

    @pytest.mark.parametrize(
        ('forge', 'error'),
        [
            (lambda good: b'', AuthenticationError),
            (lambda good: good[:-1], AuthenticationError),
            (lambda good: good.replace(b'7', b'8'), AuthenticationError),
            (lambda good: _signed(b'[1]', b'shared'), _MALFORMED),
            (lambda good: _signed(b'[1]', b'x'), AuthenticationError),
        ],
    )
    def test_forgeries_are_refused(self, forge, error):
        codec = DatagramCodec(key=b'shared')
        good = codec.encode(Probe(name='a', incarnation=1, nonce=7))
        with pytest.raises(error):
            codec.decode(forge(good))


class TestOddMessages:
    """Signed messages that make no sense change nothing."""

    @pytest.mark.parametrize('level', [-1, 0, 2, 3, 9])
    @pytest.mark.parametrize('index', _NO_INDEXES)
    def test_a_descent_outside_of_the_tree(self, level, index):
        where = places(regions=1, domains=1)
        core = Fleet(size=2, where=where).cores[0]
        descent = TreeDigests(
            name='x',
            incarnation=1,
            level=level,
            index=index,
            digests=_DIGESTS,
        )
        incoming = Incoming(source=_SOMEBODY, message=descent)
        answers = core.receive(incoming, now_s=1, rng=seeded(seed=1))
        assert not answers
