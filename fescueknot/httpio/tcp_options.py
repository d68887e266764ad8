"""Options of TCP sockets that end connections to unresponsive peers."""

import socket

_MS_PER_S = 1000


def set_tcp_timeouts(
    sock: socket.socket, unacknowledged_timeout_s: float
) -> None:
    """Let the kernel close a connection to an unresponsive peer.

    Idle connections are probed with TCP keep-alive. Sent bytes and probes may
    stay unacknowledged for ``unacknowledged_timeout_s``.
    """
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    )
    for level, name, setting in options:
        sock.setsockopt(level, name, setting)
    set_unacknowledged_timeout(sock, unacknowledged_timeout_s)


def set_unacknowledged_timeout(sock: socket.socket, timeout_s: float) -> None:
    """Set how long sent bytes and probes may stay unacknowledged.

    Time in which the receiver has no room for more counts too.
    """
    sock.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        int(timeout_s * _MS_PER_S),
    )
