"""Names of the headers that callers, targets and nodes exchange.

The names are those of a deployment; an adapter supplies them.
"""

import msgspec


class HeaderNames(msgspec.Struct, frozen=True, kw_only=True):
    """Lower-case header names.

    ``signature`` marks an answer that a target has made, ``not_executed`` one
    of a target that did no work. ``load`` holds running and waiting requests
    and slots of a target.
    """

    attempt: str = 'attempt-id'
    remaining_ms: str = 'deadline-ms'
    expected_instance: str = 'expected-instance'
    instance: str = 'instance-id'
    caller_service: str = 'caller-service'
    signature: str = 'response-signature'
    not_executed: str = 'not-executed'
    load: str = 'server-load'


# Between two nodes: what the caller's node decided, and what became of it.
CALL_HEADER = 'fescueknot-call'
ANSWER_HEADER = 'fescueknot-answer'
# Asks a node for the routes that came after a version, or for the targets'
# entries that came after a revision of the store.
ROUTES_HEADER = 'fescueknot-routes-after'
TARGETS_HEADER = 'fescueknot-targets-after'
