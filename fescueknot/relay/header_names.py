"""Names of the headers that callers, targets and nodes exchange."""

import msgspec


class HeaderNames(msgspec.Struct, frozen=True, kw_only=True):
    """Header names of a platform in lower case, supplied by its adapter.

    ``signature`` marks an answer made by a target, ``not_executed`` an answer
    of a target that did no work. ``load`` holds the number of running and
    waiting requests and of slots of a target. ``rate_limit`` holds the
    requests a second that a target accepts from all hosts together,
    ``leaving`` marks the answers of a target that leaves. ``key`` holds the key
    of a client account, ``account`` tells a target the name of the account.
    """

    attempt: str = 'attempt-id'
    remaining_ms: str = 'deadline-ms'
    expected_instance: str = 'expected-instance'
    instance: str = 'instance-id'
    caller_service: str = 'caller-service'
    signature: str = 'response-signature'
    not_executed: str = 'not-executed'
    load: str = 'server-load'
    rate_limit: str = 'rate-limit'
    leaving: str = 'leaving'
    key: str = 'account-key'
    account: str = 'account'


# Between two nodes: head of a call (CallHead) and head of its answer
# (AnswerHead), both as JSON.
CALL_HEADER = 'fescueknot-call'
ANSWER_HEADER = 'fescueknot-answer'
# Request the routes published after a version, or the entries of targets
# written after a revision of the store, from a peer.
ROUTES_HEADER = 'fescueknot-routes-after'
TARGETS_HEADER = 'fescueknot-targets-after'
