"""How clients use their connections: the usual manner and odd ones."""

from types import MappingProxyType

import msgspec

_PAUSE_S = 0.4
_UPLOAD_BYTES = 40_000


class Manner(msgspec.Struct, frozen=True, kw_only=True):
    """What a client does otherwise than most.

    ``send_pause_s`` splits what is sent, ``read_pause_s`` leaves an answer
    unread, ``half_closes`` ends the sending side behind the second request of
    a connection, ``expects`` asks for an interim answer before a body, without
    ``heeds_close`` connections are used until they end, ``body_bytes`` is the
    least of a body, ``is_library`` leaves all of that to a real client.
    """

    name: str = ''
    send_pause_s: float = 0
    read_pause_s: float = 0
    half_closes: bool = False
    expects: bool = False
    heeds_close: bool = True
    version: str = '1.1'
    body_bytes: int = 0
    is_pipelined: bool = False
    is_library: bool = False

    def ends_with(self, *, is_kept: bool) -> bool:
        """Tell whether a request is the last one on its connection."""
        is_single = self.version != USUAL.version
        return is_single or (self.half_closes and is_kept)


USUAL = Manner()
ODD = (
    Manner(name='slow reader', read_pause_s=_PAUSE_S),
    Manner(name='slow sender', send_pause_s=_PAUSE_S, body_bytes=_UPLOAD_BYTES),
    Manner(name='half-closing', half_closes=True),
    Manner(name='expects 100', expects=True, body_bytes=_UPLOAD_BYTES),
    Manner(name='deaf to close', heeds_close=False),
    Manner(name='HTTP/1.0', version='1.0'),
    Manner(
        name='pipelined uploads', is_pipelined=True, body_bytes=_UPLOAD_BYTES
    ),
    Manner(name='library', is_library=True),
)
MANNERS = MappingProxyType({manner.name: manner for manner in (USUAL, *ODD)})


def manner_of(number: int, odd_share: float) -> Manner:
    """Return the manner of a client by its number; kinds take turns."""
    odd_before = int(number * odd_share)
    if int((number + 1) * odd_share) == odd_before:
        return USUAL
    return ODD[odd_before % len(ODD)]
