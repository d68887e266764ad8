"""Complete HTTP messages.

Header names are lower case; values are unchanged.
"""

import msgspec

Headers = tuple[tuple[str, str], ...]
# A longer body may be a ``bytearray``, so that it isn't copied.
Body = bytes | bytearray
# What a header takes beside the bytes of its name and value.
HEADER_OVERHEAD_BYTES = 192
# What a message takes beside its target, headers and body, with its place in a
# connection's pipeline.
_MESSAGE_OVERHEAD_BYTES = 272


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """A complete request; ``target`` is the path and query as received."""

    method: str
    target: str
    headers: Headers = ()
    body: Body = b''

    def header(self, name: str) -> str | None:
        """Return the first value of a lower-case ``name``."""
        return first_value(self.headers, name)


class Response(msgspec.Struct, frozen=True, kw_only=True):
    """A complete response.

    ``closing`` is true if the server closes the connection after it.
    """

    status: int
    reason: str = ''
    headers: Headers = ()
    body: Body = b''
    closing: bool = False

    def header(self, name: str) -> str | None:
        """Return the first value of a lower-case ``name``."""
        return first_value(self.headers, name)


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of a client's requests: sizes and time-outs."""

    header_bytes: int = 65_536
    body_bytes: int = 67_108_864
    header_timeout_s: float = 5
    idle_timeout_s: float = 60


def size_bytes(message: Request | Response) -> int:
    """Return about how many bytes of memory a message takes."""
    head_bytes = sum(
        len(name) + len(value) + HEADER_OVERHEAD_BYTES
        for name, value in message.headers
    )
    if isinstance(message, Request):
        head_bytes += len(message.target)
    return _MESSAGE_OVERHEAD_BYTES + head_bytes + len(message.body)


def first_value(headers: Headers, name: str) -> str | None:
    """Return the first value of a lower-case ``name``."""
    for found, value in headers:
        if found == name:
            return value
    return None
