"""Builds the handlers of the entry port and of the peer port."""

import dataclasses

from fescueknot.node.attempts import AttemptLoop
from fescueknot.node.control import ControlServer
from fescueknot.node.door import Door
from fescueknot.node.entry import EntryHandler, EntryRoutes
from fescueknot.node.envelope import EnvelopeCodec
from fescueknot.node.intake import Intake
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
class Surroundings:
    """What the handlers are built on."""

    runtime: Runtime
    spans: SpanWriter
    rules: RulesTask
    door: Door
    channels: ServiceChannels
    key_owners: KeyOwners
    work: RunnerComponents


def build_entry(around: Surroundings, codec: EnvelopeCodec) -> EntryHandler:
    """Return the handler of the entry port."""
    peers = PeerClient(
        runtime=around.runtime,
        codec=codec,
        runner=around.work.runner,
        levels=around.work.levels,
    )
    return EntryHandler(
        runtime=around.runtime,
        intake=Intake(
            rules=around.rules,
            parents=around.work.parents,
            runtime=around.runtime,
        ),
        door=around.door,
        levels=around.work.levels,
        routes=EntryRoutes(
            channels=around.channels,
            loop=AttemptLoop(runtime=around.runtime, peers=peers),
            forwarder=KeyedForwarder(peers=peers, owners=around.key_owners),
        ),
        spans=around.spans,
    )


def build_peer(
    around: Surroundings,
    codec: EnvelopeCodec,
    control: ControlServer,
) -> PeerHandler:
    """Return the handler of the peer port."""
    return PeerHandler(
        codec=codec,
        runner=around.work.runner,
        control=control,
    )
