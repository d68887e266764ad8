"""Datagrams: what is no message of ours does no harm."""

import zlib

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from fescueknot.gossip import messages as wire
from fescueknot.gossip.documents import Document
from fescueknot.gossip.errors import PackingError, UnreadableMessageError
from fescueknot.gossip.packing import pack, unpack
from fescueknot.relay.gossip_port import decode

_PUSH = wire.Push(
    name='n1',
    digest=wire.Digest(cursor=7, held=7, version=3, age_ms=12),
    rumours=tuple(
        Document(key=f'k/n{number}', revision=number, content='{"x":1}')
        for number in range(40)
    ),
)


class TestPacking:
    """Packing."""

    @given(body=st.text(max_size=3000).map(lambda text: f'["{text}"]'.encode()))
    def test_what_is_packed_is_unpacked(self, body):
        assert unpack(pack(body)) == body

    def test_a_long_message_becomes_short(self):
        body = msgspec.json.encode(_PUSH)
        assert len(pack(body)) < len(body) / 2

    @pytest.mark.parametrize(
        'datagram', [b'', b'x', zlib.compress(b'[' + bytes(10_000_000))]
    )
    def test_what_cannot_be_unpacked_is_refused(self, datagram):
        with pytest.raises(PackingError):
            unpack(datagram)


class TestDecoding:
    """Decoding."""

    def test_a_message_comes_across(self):
        assert decode(pack(msgspec.json.encode(_PUSH))) == _PUSH

    @given(datagram=st.binary(max_size=200))
    def test_any_bytes_are_a_message_or_refused(self, datagram):
        with pytest.raises(UnreadableMessageError):
            decode(datagram)

    @pytest.mark.parametrize(
        'text',
        [
            '["p"]',
            '["p","n",[1,1,1,1],null,[["k",1]]',
            '["z","n",[1,1,1,1]]',
            '["q","n",[1,1,1,1],"nonce"]',
            '{"name":"n"}',
        ],
    )
    def test_messages_of_other_shapes_are_refused(self, text):
        with pytest.raises(UnreadableMessageError):
            decode(text.encode())

    def test_what_a_later_release_adds_is_ignored(self):
        message = decode(b'["p","n",[1,2,3,4,"more"],null,[],"more"]')
        assert message.digest.version == 3
