"""Builds the handlers of the entry port and of the peer port."""

import dataclasses

from fescueknot.node.attempts import AttemptLoop
from fescueknot.node.call_limiter import CallLimiter
from fescueknot.node.control import ControlServer
from fescueknot.node.entry import CallRunners, EntryHandler
from fescueknot.node.entry_calls import EntryCalls
from fescueknot.node.envelope import EnvelopeCodec
from fescueknot.node.key_owners import KeyOwners
from fescueknot.node.keyed_forwarder import KeyedForwarder
from fescueknot.node.peer import PeerHandler
from fescueknot.node.peer_client import PeerClient
from fescueknot.node.rules_task import RulesTask
from fescueknot.node.runner_components import RunnerComponents
from fescueknot.node.runtime import Runtime
from fescueknot.node.service_channels import ServiceChannels
from fescueknot.node.spans import SpanWriter


@dataclasses.dataclass(frozen=True, kw_only=True)
class HandlerDependencies:
    """What the handlers are built on."""

    runtime: Runtime
    spans: SpanWriter
    rules: RulesTask
    limiter: CallLimiter
    channels: ServiceChannels
    key_owners: KeyOwners
    work: RunnerComponents


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
            channels=dependencies.channels,
            loop=AttemptLoop(runtime=dependencies.runtime, peers=peers),
            forwarder=KeyedForwarder(
                peers=peers, owners=dependencies.key_owners
            ),
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
