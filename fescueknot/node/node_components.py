"""Builds the components of one node; starts nothing."""

import dataclasses

from fescueknot.node.bulk_http import BULK, bulk_endpoint
from fescueknot.node.call_limiter import CallLimiter
from fescueknot.node.control import (
    ControlClient,
    ControlServer,
    ControlSigner,
)
from fescueknot.node.entry import EntryHandler
from fescueknot.node.envelope import EnvelopeCodec
from fescueknot.node.key_components import KeyComponents, build_key_components
from fescueknot.node.membership_components import (
    MembershipComponents,
    build_membership_components,
)
from fescueknot.node.peer import PeerHandler
from fescueknot.node.port_handlers import (
    HandlerDependencies,
    build_entry_handler,
    build_peer_handler,
)
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
    limiter: CallLimiter
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
    rules = RulesTask(published=membership.published, now_s=runtime.now_s())
    dependencies = _handler_dependencies(
        settings, runtime, telemetry, rules, keys
    )
    codec = EnvelopeCodec(shared_key=settings.shared_key)
    return NodeComponents(
        telemetry=telemetry,
        membership=membership,
        rules=rules,
        keys=keys,
        work=dependencies.work,
        limiter=dependencies.limiter,
        entry=build_entry_handler(dependencies, codec),
        peer=build_peer_handler(
            dependencies,
            codec,
            _control_server(signer, membership, keys),
        ),
    )


def _handler_dependencies(
    settings: NodeSettings,
    runtime: Runtime,
    telemetry: Telemetry,
    rules: RulesTask,
    keys: KeyComponents,
) -> HandlerDependencies:
    spans = SpanWriter(telemetry=telemetry, runtime=runtime)
    return HandlerDependencies(
        runtime=runtime,
        spans=spans,
        rules=rules,
        limiter=CallLimiter(threads=settings.threads.entry),
        channels=ServiceChannels(
            runtime=runtime,
            place=settings.place,
            published=keys.published,
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
