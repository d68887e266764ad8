"""Envelopes and control calls are accepted only with the shared key."""

import msgspec
import pytest

from fescueknot.calls import CallContext, CallPolicy, Importance
from fescueknot.node.control import (
    ControlEndpoint,
    ControlServer,
    ControlSigner,
)
from fescueknot.node.envelope import Envelope, EnvelopeCodec
from fescueknot.node.errors import EnvelopeError
from fescueknot.node.messages import Header, HttpRequest

_KEY = 'a key of sixteen'
_ENVELOPE = Envelope(
    context=CallContext(
        root_id='0' * 32, caller='10.0.0.1', importance=Importance.HIGH
    ),
    policy=CallPolicy(),
    service='ledger',
    span_id='1' * 16,
)


class TestEnvelopeCodec:
    """Signed call contexts between nodes."""

    def test_round_trip(self) -> None:
        codec = EnvelopeCodec(shared_key=_KEY)
        text = codec.sign(_ENVELOPE, method='GET', path='/a')
        assert codec.verify(text, method='GET', path='/a') == _ENVELOPE

    @pytest.mark.parametrize(
        ('key', 'method', 'path'),
        [
            ('another key here', 'GET', '/a'),
            (_KEY, 'POST', '/a'),
            (_KEY, 'GET', '/b'),
        ],
    )
    def test_wrong_key_method_or_path_is_refused(
        self, key: str, method: str, path: str
    ) -> None:
        text = EnvelopeCodec(shared_key=key).sign(
            _ENVELOPE, method=method, path=path
        )
        with pytest.raises(EnvelopeError):
            EnvelopeCodec(shared_key=_KEY).verify(text, method='GET', path='/a')

    @pytest.mark.parametrize('text', ['', '.', 'x.y', 'ÿ.ÿ'])
    def test_malformed_text_is_refused(self, text: str) -> None:
        with pytest.raises(EnvelopeError):
            EnvelopeCodec(shared_key=_KEY).verify(text, method='GET', path='/a')


_PATH = '/fescueknot-control/double'


def _control(body: bytes, *, path: str = '', signed: bytes = b''):
    signer = ControlSigner(shared_key=_KEY)
    server = ControlServer(
        signer=signer,
        endpoints={
            'double': ControlEndpoint(
                request_type=int, handler=lambda number: number * 2
            )
        },
    )
    used = path or _PATH
    signature = signer.signature(used, signed or body)
    header = Header(name='Fescueknot-Signature', text=signature)
    return server.answer(
        HttpRequest(method='POST', path=used, headers=(header,), body=body)
    )


class TestControlServer:
    """Control calls by name."""

    def test_call_with_valid_signature_is_answered(self) -> None:
        answer = _control(b'21')
        assert answer.status == 200
        assert msgspec.json.decode(answer.body) == 42

    def test_changed_body_is_forbidden(self) -> None:
        assert _control(b'21', signed=b'22').status == 403

    def test_unknown_name_and_malformed_body(self) -> None:
        path = '/fescueknot-control/other'
        assert _control(b'21', path=path).status == 404
        assert _control(b'"x"').status == 400
