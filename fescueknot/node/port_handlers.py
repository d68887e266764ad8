"""Builds the handlers of the entry port and of the peer port."""

import dataclasses

from fescueknot.node.attempts import AttemptLoop
from fescueknot.node.call_limiter import CallLimiter
from fescueknot.node.control import ControlServer
from fescueknot.node.entry import CallRunners, EntryHandler
from fescueknot.node.entry_calls import EntryCalls
from fescueknot.node.envelope import EnvelopeCodec
from fescueknot.node.key_routes import KeyRoutes
from fescueknot.node.keyed_route import KeyedRoute
from fescueknot.node.peer import PeerHandler
from fescueknot.node.peer_client import PeerClient
from fescueknot.node.rules_task import RulesTask
from fescueknot.node.runtime import Runtime
from fescueknot.node.services import Services
from fescueknot.node.spans import SpanWriter
from fescueknot.node.work_parts import WorkParts


@dataclasses.dataclass(frozen=True, kw_only=True)
class HandlerDependencies:
    """The components that the handlers use."""

    runtime: Runtime
    spans: SpanWriter
    rules: RulesTask
    limiter: CallLimiter
    services: Services
    key_routes: KeyRoutes
    work: WorkParts


def build_entry_handler(
    dependencies: HandlerDependencies, codec: EnvelopeCodec
) -> EntryHandler:
    """Return the handler of the entry port."""
    peers = PeerClient(
        runtime=dependencies.runtime,
        codec=codec,
        runner=dependencies.work.runner,
        levels=dependencies.work.levels,
    )
    return EntryHandler(
        runtime=dependencies.runtime,
        calls=EntryCalls(
            rules=dependencies.rules,
            parents=dependencies.work.parents,
            runtime=dependencies.runtime,
        ),
        limiter=dependencies.limiter,
        levels=dependencies.work.levels,
        runners=CallRunners(
            services=dependencies.services,
            loop=AttemptLoop(runtime=dependencies.runtime, peers=peers),
            keyed=KeyedRoute(peers=peers, routes=dependencies.key_routes),
        ),
        spans=dependencies.spans,
    )


def build_peer_handler(
    dependencies: HandlerDependencies,
    codec: EnvelopeCodec,
    control: ControlServer,
) -> PeerHandler:
    """Return the handler of the peer port."""
    return PeerHandler(
        codec=codec,
        runner=dependencies.work.runner,
        control=control,
    )
