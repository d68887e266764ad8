"""What operators see of a node."""

import math

import msgspec

from fescueknot.identity import InstanceId, Place
from fescueknot.membership.announcements import Announcement
from fescueknot.node.node_components import Assembly
from fescueknot.node.runtime import Runtime


class NodeStatus(msgspec.Struct, frozen=True, kw_only=True):
    """State of a node.

    ``is_ready`` tells whether it takes calls. ``store_age_s`` is the age of the
    last reading of the platform's store that this node knows of, and is null
    when there was none.
    """

    instance: InstanceId
    service: str
    place: Place
    state: str
    draining: bool
    in_progress: int
    waiting: int
    concurrency_limit: int
    rules_version: int
    ready: bool
    store_revision: int
    store_age_s: float | None
    instances_known: int
    reads_store: str


class TargetView(msgspec.Struct, frozen=True, kw_only=True):
    """One announced instance."""

    service: str
    instance: str
    incarnation: int
    state: str
    region: str
    failure_domain: str
    peer: str
    ops: str
    slots: int


class NodeViews:
    """Reads what operators see from the parts of a node."""

    def __init__(self, *, runtime: Runtime, parts: Assembly) -> None:
        self._runtime = runtime
        self._published = parts.membership.published
        self._work = parts.work
        self._limiter = parts.limiter
        self._rules = parts.rules

    def status(self) -> NodeStatus:
        """Return the state of the node."""
        status = self._published.status
        level = self._work.gate.pressure()
        age_s = self._runtime.now_s() - status.current_at_s
        return NodeStatus(
            instance=self._runtime.instance,
            service=status.own.service,
            place=status.own.place,
            state=status.own.state.value,
            draining=self._work.limiter.closed,
            in_progress=self._work.limiter.in_progress
            + self._limiter.in_progress,
            waiting=level.waiting,
            concurrency_limit=level.limit,
            rules_version=self._rules.version,
            ready=self._rules.is_ready(self._runtime.now_s()),
            store_revision=status.held,
            store_age_s=age_s if math.isfinite(age_s) else None,
            instances_known=status.present_count,
            reads_store=status.read_mode.name.lower(),
        )

    def targets(self) -> tuple[TargetView, ...]:
        """Return the known instances, by service and name."""
        ordered = sorted(
            self._published.all_announcements(), key=_service_and_name
        )
        return tuple(map(_target_view, ordered))


def _service_and_name(known: Announcement) -> tuple[str, str]:
    return (known.service, known.name)


def _target_view(known: Announcement) -> TargetView:
    return TargetView(
        service=known.service,
        instance=known.name,
        incarnation=known.incarnation,
        state=known.state.value,
        region=known.region,
        failure_domain=known.failure_domain,
        peer=str(known.peer),
        ops=str(known.ops),
        slots=known.slots,
    )
