"""Names of the platform's HTTP headers."""

from fescueknot.relay.header_names import HeaderNames

PLATFORM_HEADERS = HeaderNames(
    attempt='x-fescueknot-attempt-id',
    remaining_ms='x-fescueknot-deadline-ms',
    expected_instance='x-fescueknot-expected-instance',
    instance='x-fescueknot-instance-id',
    caller_service='x-fescueknot-caller-service',
    signature='x-fescueknot-response-signature',
    not_executed='x-fescueknot-not-executed',
    load='x-fescueknot-server-load',
    rate_limit='server-limit',
    leaving='server-leaving',
    key='api-key',
    account='x-fescueknot-tenant',
)
