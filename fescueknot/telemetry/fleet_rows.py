"""Rows of the page on a fleet."""

import msgspec


class ServiceFigures(msgspec.Struct, frozen=True, kw_only=True):
    """Calls to one service, summed over all nodes.

    Percentiles are upper bounds of histogram buckets.
    """

    service: str
    served: int = 0
    refused: int = 0
    failed: int = 0
    p50_ms: float | None = None
    p99_ms: float | None = None


class TargetFigures(msgspec.Struct, frozen=True, kw_only=True):
    """Slots of the targets of one service in one failure domain."""

    service: str
    failure_domain: str
    nodes: int
    slots: int
    in_use: int
    waiting: int


class LateNodeFigures(msgspec.Struct, frozen=True, kw_only=True):
    """A node whose routes are older than those of another node.

    ``heard_of`` is the newest version that it knows of, ``evidence_age_s`` the
    age of its evidence that its routes are current.
    """

    node: str
    version: int
    heard_of: int
    evidence_age_s: float
    follows_store: bool


class AnnouncingTargetFigures(msgspec.Struct, frozen=True, kw_only=True):
    """A target that announces a rate limit or that it leaves.

    ``limit_per_s`` is ``None`` without a limit, ``refused`` counts the calls
    that its node has refused by a limit since the node started.
    """

    node: str
    service: str
    failure_domain: str
    limit_per_s: float | None
    refused: int
    waiting: int
    leaving: bool
