"""What a target answers."""

from http import HTTPStatus

import msgspec


class Reply(msgspec.Struct, frozen=True, kw_only=True):
    """An answer of a target; ``way`` is how it is sent."""

    status: int
    headers: dict[str, str]
    body: bytes = b''
    way: str = ''

    def encode(self) -> bytes:
        """Return the bytes of the answer."""
        return self.encode_head() + self.body

    def encode_head(self, *, is_framed: bool = True) -> bytes:
        """Return the bytes before the body, with its length or without."""
        lines = [f'HTTP/1.1 {self.status} {HTTPStatus(self.status).phrase}']
        fields = dict(self.headers)
        if is_framed:
            fields['content-length'] = str(len(self.body))
        lines.extend(f'{name}: {field}' for name, field in fields.items())
        return '\r\n'.join((*lines, '', '')).encode()
