"""The nested objects of a node's settings."""

import enum
from typing import Annotated, TypeAlias

import msgspec

from fescueknot.identity import Address

Name: TypeAlias = Annotated[
    str, msgspec.Meta(pattern='^[a-z0-9][a-z0-9._-]{0,62}$')
]


class LogFormat(enum.StrEnum):
    """Form of a log line."""

    PLAIN = 'plain'
    JSON = 'json'


class LogLevel(enum.StrEnum):
    """Lowest level that is logged."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


class Addresses(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Where a node listens."""

    entry: Annotated[
        Address,
        msgspec.Meta(description='TCP, calls of callers and of the target.'),
    ]
    peer: Annotated[
        Address,
        msgspec.Meta(description='TCP, authenticated calls of other nodes.'),
    ]
    ops: Annotated[
        Address,
        msgspec.Meta(description='TCP, status, metrics, traces, drain.'),
    ]
    gossip: Annotated[
        Address,
        msgspec.Meta(description='UDP, membership and configuration gossip.'),
    ]


class Threads(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Sizes of the thread pools."""

    entry: Annotated[
        int,
        msgspec.Meta(
            ge=1,
            le=512,
            description=(
                'Calls of callers and of the target served at a time, those '
                'that wait in line included.'
            ),
        ),
    ] = 128
    peer: Annotated[
        int,
        msgspec.Meta(
            ge=1,
            le=512,
            description=(
                'Calls of other nodes served at a time, those that wait in '
                'line included.'
            ),
        ),
    ] = 128
    ops: Annotated[
        int,
        msgspec.Meta(
            ge=1, le=16, description='Requests of operators served at a time.'
        ),
    ] = 2


class Timing(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Leases, time limits and retention."""

    lease_s: Annotated[
        float,
        msgspec.Meta(
            ge=1,
            le=60,
            description=(
                'How long an owner of at-most-once keys may run them after '
                'the last sign of the object API.'
            ),
        ),
    ] = 8
    key_skew_s: Annotated[
        float,
        msgspec.Meta(
            ge=0,
            le=300,
            description=(
                "Largest accepted difference between the clock in a caller's "
                'idempotency key and the clock of this host.'
            ),
        ),
    ] = 5
    retention_s: Annotated[
        float,
        msgspec.Meta(
            ge=10,
            le=86_400,
            description='How long the outcome of an idempotency key is kept.',
        ),
    ] = 600
    drain_grace_s: Annotated[
        float,
        msgspec.Meta(
            ge=0,
            le=600,
            description=(
                'How long a planned stop waits for requests in flight before '
                'it reports them as cut off.'
            ),
        ),
    ] = 30
    connect_timeout_ms: Annotated[
        int,
        msgspec.Meta(
            ge=1,
            le=60_000,
            description='Time limit for a new connection to node or target.',
        ),
    ] = 250
    platform_timeout_ms: Annotated[
        int,
        msgspec.Meta(
            ge=10,
            le=60_000,
            description='Time limit for one call to the object API.',
        ),
    ] = 1_000
    request_head_timeout_s: Annotated[
        float,
        msgspec.Meta(
            ge=0.1,
            le=120,
            description='How long a caller may take to send its request.',
        ),
    ] = 10


class Limits(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Bounds on single requests."""

    max_header_bytes: Annotated[
        int,
        msgspec.Meta(
            ge=1_024,
            le=1_048_576,
            description='Longest accepted request line with headers.',
        ),
    ] = 16_384
    max_body_bytes: Annotated[
        int,
        msgspec.Meta(
            ge=0,
            le=67_108_864,
            description='Longest accepted request body.',
        ),
    ] = 1_048_576
    max_connections: Annotated[
        int,
        msgspec.Meta(
            ge=1,
            le=100_000,
            description='Connections of callers open at a time.',
        ),
    ] = 300


class LogSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Form of the log, written to the standard error stream."""

    format: Annotated[
        LogFormat,
        msgspec.Meta(description='One of "plain" and "json" (JSON lines).'),
    ] = LogFormat.PLAIN
    level: Annotated[
        LogLevel,
        msgspec.Meta(
            description='One of "debug", "info", "warning" and "error".'
        ),
    ] = LogLevel.INFO
