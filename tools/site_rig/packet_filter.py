"""Drops packets at the sockets of a process, by the host they come from.

The kernel runs a classic packet filter on all that arrives at a socket, before
it acknowledges anything: the other side sees a link that is cut or lossy.
"""

import ctypes
import socket
import struct
from collections.abc import Iterable, Mapping
from types import MappingProxyType

from tools.site_rig.link_pages import LinkPage

_ATTACH = 26
_DETACH = 27
# Operations of the filter's machine.
_LOAD = 0x20
_LOAD_LENGTH = 0x80
_IF_EQUAL = 0x15
_IF_ABOVE = 0x25
_IF_AT_LEAST = 0x35
_RETURN = 6
# Addresses of the sender in the packet, and of a random number.
_SENDER = 0xFFF0000C
_RANDOM = 0xFFFFF038
_RANDOM_RANGE = 1 << 32
# Loopback carries as one what would be that many packets, by the bytes that it
# is longer than.
_SIZES = MappingProxyType({12_000: 16, 4500: 6, 1500: 2, 0: 1})
_INSTRUCTION = struct.Struct('HBBI')
_PROGRAM = struct.Struct('HL')

Instruction = tuple[int, int, int, int]

_KEEP: Instruction = (_RETURN, 0, 0, 0xFFFFFFFF)
_DROP: Instruction = (_RETURN, 0, 0, 0)


class PacketFilter:
    """A filter that sockets get; one that drops nothing is none at all."""

    def __init__(self, instructions: Iterable[Instruction] = ()) -> None:
        listed = tuple(instructions)
        self._code = ctypes.create_string_buffer(
            b''.join(_INSTRUCTION.pack(*each) for each in listed)
        )
        self._program = b''
        if listed:
            address = ctypes.addressof(self._code)
            self._program = _PROGRAM.pack(len(listed), address)

    def put_on(self, sock: socket.socket) -> None:
        """Filter what arrives at a socket from now on."""
        if self._program:
            sock.setsockopt(socket.SOL_SOCKET, _ATTACH, self._program)
            return
        try:
            sock.setsockopt(socket.SOL_SOCKET, _DETACH, 0)
        except FileNotFoundError:
            # It had none.
            return


# Drops all that arrives.
SILENCE = PacketFilter((_DROP,))


def filter_of(page: LinkPage) -> PacketFilter:
    """Return the filter of a host."""
    return PacketFilter(instructions_of(page.deaf_to, page.losses))


def instructions_of(
    deaf_to: Iterable[str], losses: Mapping[str, float]
) -> list[Instruction]:
    """Return what drops all packets of some hosts and a share of others'."""
    rules: list[Instruction] = []
    for host in deaf_to:
        rules.extend(_cut(host))
    for lossy, share in losses.items():
        rules.extend(_lose(lossy, share))
    if not rules:
        return []
    return [(_LOAD, 0, 0, _SENDER), *rules, _KEEP]


def _cut(host: str) -> tuple[Instruction, ...]:
    return (_IF_EQUAL, 0, 1, _number(host)), _DROP


def _lose(host: str, share: float) -> tuple[Instruction, ...]:
    """Drop a share of the packets that a real link would carry."""
    rules = []
    for above_bytes, packets in _SIZES.items():
        lost = 1 - (1 - share) ** packets
        least = min(_RANDOM_RANGE - 1, int(lost * _RANDOM_RANGE))
        rules.extend(
            (
                (_LOAD_LENGTH, 0, 0, 0),
                (_IF_ABOVE, 0, 4, above_bytes),
                (_LOAD, 0, 0, _RANDOM),
                (_IF_AT_LEAST, 1, 0, least),
                _DROP,
                _KEEP,
            )
        )
    return (_IF_EQUAL, 0, len(rules), _number(host)), *rules


def _number(host: str) -> int:
    return int.from_bytes(socket.inet_aton(host), 'big')
