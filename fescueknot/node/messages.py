"""HTTP requests and answers as values.

Bodies are complete: a request is built when its last byte has arrived.
"""

from collections.abc import Iterable

import msgspec


class Header(msgspec.Struct, frozen=True, kw_only=True):
    """One header field."""

    name: str
    text: str


class HttpRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One request.

    ``path`` includes the query string; ``sender`` is the IP address that the
    request came from.
    """

    method: str
    path: str
    headers: tuple[Header, ...] = ()
    body: bytes = b''
    sender: str = ''

    def header(self, name: str) -> str:
        """Return the first field of that name, or an empty string."""
        return find_header(self.headers, name)


class HttpAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """One complete answer."""

    status: int
    reason: str = ''
    headers: tuple[Header, ...] = ()
    body: bytes = b''

    def header(self, name: str) -> str:
        """Return the first field of that name, or an empty string."""
        return find_header(self.headers, name)


def find_header(headers: Iterable[Header], name: str) -> str:
    """Return the text of the first header ``name``, ignoring case."""
    wanted = name.lower()
    for header in headers:
        if header.name.lower() == wanted:
            return header.text
    return ''


def without_headers(
    headers: Iterable[Header],
    dropped: frozenset[str],
) -> tuple[Header, ...]:
    """Return the headers whose lower-case name is not in ``dropped``."""
    return tuple(
        header for header in headers if header.name.lower() not in dropped
    )
