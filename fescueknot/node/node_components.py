"""Builds the components of one node; starts nothing."""

import dataclasses

from fescueknot.node.bulk_http import BULK, bulk_endpoint
from fescueknot.node.call_path import Surroundings, build_entry, build_peer
from fescueknot.node.control import (
    ControlClient,
    ControlServer,
    ControlSigner,
)
from fescueknot.node.door import Door
from fescueknot.node.entry import EntryHandler
from fescueknot.node.envelope import EnvelopeCodec
from fescueknot.node.key_components import KeyComponents, build_key_components
from fescueknot.node.membership_components import (
    MembershipComponents,
    build_membership_components,
)
from fescueknot.node.peer import PeerHandler
from fescueknot.node.rules_task import RulesTask
from fescueknot.node.runner_components import (
    RunnerComponents,
    build_runner_components,
)
from fescueknot.node.runtime import Runtime
from fescueknot.node.service_channels import ServiceChannels
from fescueknot.node.spans import SpanWriter
from fescueknot.settings.model import NodeSettings
from fescueknot.telemetry.recorder import Telemetry


@dataclasses.dataclass(frozen=True, kw_only=True)
class NodeComponents:
    """The components of a node that are started, stopped and viewed."""

    telemetry: Telemetry
    membership: MembershipComponents
    rules: RulesTask
    keys: KeyComponents
    work: RunnerComponents
    door: Door
    entry: EntryHandler
    peer: PeerHandler


def build_node_components(
    *, settings: NodeSettings, runtime: Runtime
) -> NodeComponents:
    """Return the components of a node; none is started."""
    telemetry = Telemetry(clock=runtime.clock)
    signer = ControlSigner(shared_key=settings.shared_key)
    control = ControlClient(signer=signer, runtime=runtime)
    membership = build_membership_components(
        runtime=runtime,
        settings=settings,
        control=control,
    )
    keys = build_key_components(
        runtime=runtime,
        timing=settings.timing,
        membership=membership,
        control=control,
    )
    rules = RulesTask(board=membership.board, now_s=runtime.now_s())
    around = _surroundings(settings, runtime, telemetry, rules, keys)
    codec = EnvelopeCodec(shared_key=settings.shared_key)
    return NodeComponents(
        telemetry=telemetry,
        membership=membership,
        rules=rules,
        keys=keys,
        work=around.work,
        door=around.door,
        entry=build_entry(around, codec),
        peer=build_peer(
            around,
            codec,
            _control_server(signer, membership, keys),
        ),
    )


def _surroundings(
    settings: NodeSettings,
    runtime: Runtime,
    telemetry: Telemetry,
    rules: RulesTask,
    keys: KeyComponents,
) -> Surroundings:
    spans = SpanWriter(telemetry=telemetry, runtime=runtime)
    return Surroundings(
        runtime=runtime,
        spans=spans,
        rules=rules,
        door=Door(threads=settings.threads.entry),
        channels=ServiceChannels(
            runtime=runtime,
            place=settings.place,
            board=keys.board,
        ),
        key_owners=keys.owners,
        work=build_runner_components(
            runtime=runtime,
            target=settings.target,
            target_slots=settings.target_slots,
            threads=settings.threads.peer,
            key_member=keys.key_member,
            spans=spans,
        ),
    )


def _control_server(
    signer: ControlSigner,
    membership: MembershipComponents,
    keys: KeyComponents,
) -> ControlServer:
    endpoints = dict(keys.endpoints.by_name())
    endpoints[BULK] = bulk_endpoint(membership.gossip)
    return ControlServer(signer=signer, endpoints=endpoints)
