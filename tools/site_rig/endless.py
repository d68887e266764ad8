"""Answers without end: bytes that go on until the caller closes."""

import itertools
from collections.abc import Callable, Iterator
from types import MappingProxyType

import msgspec

_CHUNK_BYTES = 16_384
# What is sent at once.
_PIECE_BYTES = 262_144
_SMALL_BYTES = 64
_SMALL_PAUSE_S = 0.02
_STATUS = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = b'%stransfer-encoding: chunked\r\n\r\n' % _STATUS
_WHOLE = b'%scontent-length: 2\r\n\r\nok' % _STATUS
_UNFRAMED = b'%s\r\n' % _STATUS
_EMPTY_LINE = b'\r\n'
_BYTES = b'x' * _CHUNK_BYTES
_CHUNK = b'%x\r\n%s\r\n' % (_CHUNK_BYTES, _BYTES)
_ONE_BYTE = b'1\r\nx\r\n'
_FIELD = b'x-%%d: %s\r\n' % (b'y' * 200)
_FIELDS_AT_ONCE = 64
_INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'


class Endless(msgspec.Struct, frozen=True, kw_only=True):
    """How an answer begins and with what it goes on."""

    begin: bytes
    pieces: Callable[[], Iterator[bytes]]
    pause_s: float = 0


def _same(piece: bytes) -> Callable[[], Iterator[bytes]]:
    repeated = piece * max(1, _PIECE_BYTES // len(piece))
    return lambda: itertools.repeat(repeated)


def _slowly(piece: bytes) -> Callable[[], Iterator[bytes]]:
    repeated = piece * max(1, _SMALL_BYTES // len(piece))
    return lambda: itertools.repeat(repeated)


def _fields() -> Iterator[bytes]:
    for first in itertools.count(step=_FIELDS_AT_ONCE):
        numbers = range(first, first + _FIELDS_AT_ONCE)
        yield b''.join(_FIELD % number for number in numbers)


ENDLESS = MappingProxyType(
    {
        'length': Endless(
            begin=b'%scontent-length: 99999999999\r\n\r\n' % _STATUS,
            pieces=_same(_BYTES),
        ),
        'chunks': Endless(begin=_CHUNKED, pieces=_same(_CHUNK)),
        'unframed': Endless(begin=_UNFRAMED, pieces=_same(_BYTES)),
        'headers': Endless(begin=_STATUS, pieces=_fields),
        'trailers': Endless(begin=b'%s0\r\n' % _CHUNKED, pieces=_fields),
        'small chunks': Endless(begin=_CHUNKED, pieces=_same(_ONE_BYTE)),
        'garbage': Endless(begin=b'', pieces=_same(b'\x00\xfe\x17garbage')),
        'status': Endless(begin=b'HTTP/1.1 200 ', pieces=_same(_BYTES)),
        'field': Endless(begin=b'%sx: ' % _STATUS, pieces=_same(_BYTES)),
        'interim': Endless(begin=b'', pieces=_same(_INTERIM)),
        'extension': Endless(begin=b'%s1;x=' % _CHUNKED, pieces=_same(_BYTES)),
        'chunk size': Endless(begin=_CHUNKED, pieces=_same(b'0')),
        'empty lines': Endless(begin=b'', pieces=_same(_EMPTY_LINE)),
        'behind': Endless(begin=_WHOLE, pieces=_same(_BYTES)),
        'answers': Endless(begin=b'', pieces=_same(_WHOLE)),
        'slow body': Endless(
            begin=_UNFRAMED,
            pieces=_slowly(b'x'),
            pause_s=_SMALL_PAUSE_S,
        ),
        'slow interim': Endless(
            begin=b'', pieces=_slowly(_INTERIM), pause_s=_SMALL_PAUSE_S
        ),
        'slow lines': Endless(
            begin=b'', pieces=_slowly(_EMPTY_LINE), pause_s=_SMALL_PAUSE_S
        ),
    }
)
