"""Names of the headers that the node reads, sets or removes."""

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

# TIMEOUT_MS carries the time left for the request, EXPIRES_MS the time after
# which its work must not start, in Unix milliseconds of the host's clock. A
# point in time stays valid when the target is paused; a duration does not.
TIMEOUT_MS = 'Request-Timeout-Ms'
EXPIRES_MS = 'Request-Expires-Ms'
AUTHORIZATION = 'Authorization'
IDEMPOTENCY_KEY = 'Idempotency-Key'
RETRY_AFTER = 'Retry-After'
TRACEPARENT = 'traceparent'
CONTENT_TYPE = 'Content-Type'

# http.client writes the Host header itself.
_HOP_BY_HOP = HOP_BY_HOP_HEADERS | {'host'}


def idempotency_key(request: HttpRequest) -> str:
    """Return the idempotency key without the quotes of the IETF draft."""
    return request.header(IDEMPOTENCY_KEY).strip().strip('"')


def end_to_end(headers: Iterable[Header]) -> tuple[Header, ...]:
    """Return the headers without hop-by-hop and internal headers."""
    kept = without_headers(headers, _HOP_BY_HOP)
    return tuple(
        header
        for header in kept
        if not header.name.lower().startswith(INTERNAL_PREFIX)
    )
