"""Reads the answers on a caller's connection."""

import httptools

from fescueknot.platform.headers import PLATFORM_HEADERS
from tools.site_rig.exchanges import Answer

_SIGNATURE = PLATFORM_HEADERS.signature.encode()
_FRAMES = frozenset((b'content-length', b'transfer-encoding'))
_FIRST_FINAL = 200
_NO_BODY = frozenset((204, 304))


class AnswerReader:
    """Yields answers, interim ones too, in their order."""

    def __init__(self) -> None:
        self.should_keep_alive = True
        self._parser = httptools.HttpResponseParser(self)
        self._fields: dict[bytes, bytes] = {}
        self._answers: list[Answer] = []
        self._is_open = False

    def feed(self, chunk: bytes) -> tuple[Answer, ...]:
        """Return the answers that a chunk completes."""
        self._parser.feed_data(chunk)
        answers = tuple(self._answers)
        self._answers.clear()
        return answers

    def finish(self) -> Answer | None:
        """Return the answer that the end of the connection completes."""
        return self._answer() if self._is_open else None

    def on_message_begin(self) -> None:
        """Start to read an answer."""
        self._fields = {}

    def on_header(self, name: bytes, content: bytes) -> None:
        """Note a header."""
        self._fields[name.lower()] = content

    def on_headers_complete(self) -> None:
        """Note whether only the end of the connection ends it."""
        status = self._parser.get_status_code()
        has_body = status >= _FIRST_FINAL and status not in _NO_BODY
        self._is_open = has_body and not _FRAMES & set(self._fields)

    def on_message_complete(self) -> None:
        """Hand over an answer."""
        self._is_open = False
        self.should_keep_alive = self._parser.should_keep_alive()
        self._answers.append(self._answer())

    def _answer(self) -> Answer:
        return Answer(
            status=self._parser.get_status_code(),
            is_signed=_SIGNATURE in self._fields,
            retry_after_s=float(self._fields.get(b'retry-after', 0)),
        )
