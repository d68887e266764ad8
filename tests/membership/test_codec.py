"""Decoding of datagrams, and of invalid messages."""

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
_INVALID_INDEXES = (-1, 256, 4096)
_SENDER = Address(host='10.0.0.1', port=1)


def _signed(body: bytes, key: bytes) -> bytes:
    signature = DatagramCodec(key=key)._sign(body)
    return b''.join((signature, body))


class TestCodec:
    """Only datagrams signed with the shared key are accepted."""

    def test_a_message_round_trips(self):
        codec = DatagramCodec(key=b'shared')
        probe = Probe(name='a', incarnation=1, nonce=7)
        assert codec.decode(codec.encode(probe)) == probe

    @pytest.mark.parametrize(
        ('forge', 'error'),
        [
            (lambda signed: b'', AuthenticationError),
            (lambda signed: signed[:-1], AuthenticationError),
            (lambda signed: signed.replace(b'7', b'8'), AuthenticationError),
            (lambda signed: _signed(b'[1]', b'shared'), _MALFORMED),
            (lambda signed: _signed(b'[1]', b'x'), AuthenticationError),
        ],
    )
    def test_invalid_datagrams_are_refused(self, forge, error):
        codec = DatagramCodec(key=b'shared')
        signed = codec.encode(Probe(name='a', incarnation=1, nonce=7))
        with pytest.raises(error):
            codec.decode(forge(signed))


class TestInvalidMessages:
    """Signed messages with values out of range are ignored."""

    @pytest.mark.parametrize('level', [-1, 0, 2, 3, 9])
    @pytest.mark.parametrize('index', _INVALID_INDEXES)
    def test_digests_outside_of_the_tree_get_no_reply(self, level, index):
        domain = places(regions=1, domains=1)
        core = Fleet(size=2, where=domain).cores[0]
        digests = TreeDigests(
            name='x',
            incarnation=1,
            level=level,
            index=index,
            digests=_DIGESTS,
        )
        incoming = Incoming(source=_SENDER, message=digests)
        answers = core.receive(incoming, now_s=1, rng=seeded(seed=1))
        assert not answers
