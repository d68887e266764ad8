"""What the kernel knows of the other side of a connection."""

import functools
import logging
import socket
import struct

import msgspec

_LOG = logging.getLogger('fescueknot.httpio')
_MS_PER_S = 1000
# The start of ``struct tcp_info`` of Linux: eight bytes, then 32-bit numbers.
_TCP_INFO = struct.Struct('8B13I')
_STATE = 0
_RETRANSMITS = 2
_PROBES = 3
_LAST_ACK_RECEIVED_MS = 20
# A lost packet alone shows nothing.
_MIN_UNANSWERED = 2


class PeerState(msgspec.Struct, frozen=True, kw_only=True):
    """``unanswered``: packets or probes in a row without an acknowledgement."""

    unanswered: int
    silent_s: float

    def is_unresponsive(self, timeout_s: float) -> bool:
        """Return whether the peer has acknowledged nothing for this time.

        One that takes no more bytes, but answers the probes, is responsive.
        """
        return self.unanswered >= _MIN_UNANSWERED and self.silent_s >= timeout_s


def read_peer_state(sock: socket.socket) -> PeerState | None:
    """Return the state of a connection, ``None`` if it isn't known."""
    try:
        info = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size
        )
        return decode_peer_state(info)
    except (OSError, struct.error) as error:
        _log_unknown(repr(error))
        return None


def decode_peer_state(info: bytes) -> PeerState | None:
    """Return what a ``struct tcp_info`` says, ``None`` if it was not filled.

    Raises ``struct.error`` if it is cut.
    """
    fields = _TCP_INFO.unpack(info)
    if not fields[_STATE]:
        return None
    return PeerState(
        unanswered=max(fields[_RETRANSMITS], fields[_PROBES]),
        silent_s=fields[_LAST_ACK_RECEIVED_MS] / _MS_PER_S,
    )


@functools.cache
def _log_unknown(reason: str) -> None:
    """Log each kind of error once."""
    _LOG.debug('httpio: cannot read the state of connections: %s', reason)
