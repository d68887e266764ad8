"""Sockets that give one byte at a time, by a clock that reads move on."""

import socket

from fescueknot import clock

_READ_S = 0.125


class SlowSockets:
    """Each read of a socket of ``http.client`` takes an eighth of a second.

    ``reads`` counts them. Modules that have imported the clock of the host by
    its name are given as ``modules``.
    """

    def __init__(self, monkeypatch, *modules) -> None:
        self.reads = 0
        self.now_s = float(100)
        read = socket.SocketIO.readinto

        def read_byte(raw, buffer):
            self.reads += 1
            self.now_s += _READ_S
            return read(raw, memoryview(buffer)[:1])

        monkeypatch.setattr(socket.SocketIO, 'readinto', read_byte)
        for module in (clock, *modules):
            monkeypatch.setattr(module, 'boot_time_s', self._boot_time_s)

    def _boot_time_s(self):
        return self.now_s
