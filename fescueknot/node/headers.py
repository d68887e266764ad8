"""Header names of the layer and of HTTP that the node treats specially."""

from collections.abc import Iterable

from fescueknot.httpio.encoding import HOP_BY_HOP_HEADERS
from fescueknot.node.messages import (
    Header,
    HttpRequest,
    without_headers,
)

INTERNAL_PREFIX = 'fescueknot-'

ENVELOPE = 'Fescueknot-Envelope'
VERDICT = 'Fescueknot-Verdict'

# Time left for the request, and the moment after which its work must not
# start, in Unix milliseconds of the host's clock, which holds after a pause.
TIMEOUT_MS = 'Request-Timeout-Ms'
EXPIRES_MS = 'Request-Expires-Ms'
AUTHORIZATION = 'Authorization'
IDEMPOTENCY_KEY = 'Idempotency-Key'
RETRY_AFTER = 'Retry-After'
TRACEPARENT = 'traceparent'
CONTENT_TYPE = 'Content-Type'

# The sending library writes the host itself.
_HOP_BY_HOP = HOP_BY_HOP_HEADERS | {'host'}


def idempotency_key(request: HttpRequest) -> str:
    """Return the idempotency key, without the quotes of the draft."""
    return request.header(IDEMPOTENCY_KEY).strip().strip('"')


def end_to_end(headers: Iterable[Header]) -> tuple[Header, ...]:
    """Return the headers without hop-by-hop and internal ones."""
    kept = without_headers(headers, _HOP_BY_HOP)
    return tuple(
        header
        for header in kept
        if not header.name.lower().startswith(INTERNAL_PREFIX)
    )
