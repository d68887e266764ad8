"""Requests that offer to change the protocol of their connection."""

import pytest

from fescueknot.httpio.message_parser import MalformedError
from fescueknot.httpio.parsing import RequestParser

_OFFER = 'connection: Upgrade, HTTP2-Settings\r\nupgrade: h2c\r\n'
_TARGETS = ('/first', '/second', '/third')


def _request(target, *, method='GET', headers=_OFFER, body=''):
    head = f'{method} {target} HTTP/1.1\r\nhost: h\r\n{headers}\r\n'
    return (head + body).encode()


def _parser():
    return RequestParser(max_header_bytes=500, max_body_bytes=100)


class TestOffersOfAnUpgrade:
    """Offers are ignored, as a server may (RFC 9110, 7.8)."""

    # Guards against a 400 that follows the answer of a proper request, and
    # that its client takes for the answer of the next one.
    @pytest.mark.parametrize('piece_bytes', [1, 7, 64, 4096])
    def test_each_request_is_read(self, piece_bytes):
        everything = b''.join(map(_request, _TARGETS))
        parser = _parser()
        complete = []
        for start in range(0, len(everything), piece_bytes):
            piece = everything[start : start + piece_bytes]
            complete.extend(parser.feed(piece))
        targets = tuple(request.target for request, _ in complete)
        assert targets == _TARGETS
        assert all(keep_alive for _, keep_alive in complete)

    # Guards against a body that is left out, and read as another request.
    @pytest.mark.parametrize(
        'framing', ['content-length: 53', 'transfer-encoding: chunked']
    )
    def test_one_with_a_body_is_refused_unread(self, framing):
        parser = _parser()
        inner = _request('/smuggled')
        post = _request(
            '/first',
            method='POST',
            headers=f'{_OFFER}{framing}\r\n',
            body=inner.decode(),
        )
        with pytest.raises(MalformedError):
            parser.feed(post)
        assert parser.pop_complete() == []

    def test_one_with_an_empty_body_is_read(self):
        headers = f'{_OFFER}content-length: 0\r\n'
        complete = _parser().feed(_request('/first', headers=headers))
        assert len(complete) == 1

    # Guards against limits that hold no longer behind such a request.
    def test_the_next_head_is_limited(self):
        parser = _parser()
        endless = _request('/second', headers=f'a: {"b" * 600}\r\n')
        with pytest.raises(Exception, match='6'):
            parser.feed(_request('/first') + endless)
        assert len(parser.pop_complete()) == 1

    def test_bytes_of_a_tunnel_are_no_request(self):
        parser = _parser()
        tunnel = _request('h:1', method='CONNECT', headers='')
        with pytest.raises(MalformedError):
            parser.feed(tunnel + _request('/second'))
