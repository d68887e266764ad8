"""Puts the parts of one node together; starts nothing."""

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
from fescueknot.node.key_components import KeyParts, build_key_parts
from fescueknot.node.membership_components import (
    MembershipParts,
    build_membership,
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
class Assembly:
    """The parts of a node that are started, stopped and looked at."""

    telemetry: Telemetry
    membership: MembershipParts
    rules: RulesTask
    keys: KeyParts
    work: RunnerComponents
    limiter: CallLimiter
    entry: EntryHandler
    peer: PeerHandler


def assemble(*, settings: NodeSettings, runtime: Runtime) -> Assembly:
    """Return the parts of a node."""
    telemetry = Telemetry(clock=runtime.clock)
    signer = ControlSigner(shared_key=settings.shared_key)
    control = ControlClient(signer=signer, runtime=runtime)
    membership = build_membership(
        runtime=runtime,
        settings=settings,
        control=control,
    )
    keys = build_key_parts(
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
    return Assembly(
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
    keys: KeyParts,
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
        key_owners=keys.routes,
        work=build_runner_components(
            runtime=runtime,
            target=settings.target,
            target_slots=settings.target_slots,
            threads=settings.threads.peer,
            key_member=keys.desk,
            spans=spans,
        ),
    )


def _control_server(
    signer: ControlSigner,
    membership: MembershipParts,
    keys: KeyParts,
) -> ControlServer:
    endpoints = dict(keys.endpoints.table())
    endpoints[BULK] = bulk_endpoint(membership.gossip)
    return ControlServer(signer=signer, endpoints=endpoints)
