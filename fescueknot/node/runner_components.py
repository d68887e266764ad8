"""Builds the parts that run calls on the target of this node."""

import dataclasses

from fescueknot.identity import Address
from fescueknot.node.blocking_gate import BlockingGate, build_blocking_gate
from fescueknot.node.call_limiter import CallLimiter
from fescueknot.node.dispatch import build_dispatcher
from fescueknot.node.downstream_levels import DownstreamLevels
from fescueknot.node.keyed_runner import KeyedRunner
from fescueknot.node.local_runner import LocalRunner
from fescueknot.node.locked_key_member import LockedKeyMember
from fescueknot.node.parent_calls import ParentCalls
from fescueknot.node.runner import JobRunner
from fescueknot.node.runtime import Runtime
from fescueknot.node.spans import SpanWriter


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunnerComponents:
    """The runner of jobs, and what others share with it."""

    runner: JobRunner
    gate: BlockingGate
    limiter: CallLimiter
    parents: ParentCalls
    levels: DownstreamLevels


def build_runner_components(
    *,
    runtime: Runtime,
    target: Address,
    target_slots: int,
    threads: int,
    key_member: LockedKeyMember,
    spans: SpanWriter,
) -> RunnerComponents:
    """Return the parts for the target at that address."""
    parents = ParentCalls()
    limiter = CallLimiter(threads=threads)
    gate = build_blocking_gate(runtime, initial_limit=target_slots)
    levels = DownstreamLevels(
        apply_downstream_level=gate.apply_downstream_level
    )
    local_runner = LocalRunner(
        runtime=runtime,
        gate=gate,
        dispatcher=build_dispatcher(runtime, target, parents, gate),
        limiter=limiter,
        spans=spans,
        below=levels,
    )
    keyed_runner = KeyedRunner(
        runtime=runtime, key_member=key_member, local_runner=local_runner
    )
    return RunnerComponents(
        runner=JobRunner(local_runner=local_runner, keyed_runner=keyed_runner),
        gate=gate,
        limiter=limiter,
        parents=parents,
        levels=levels,
    )
