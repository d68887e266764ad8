"""Builds the parts that run calls on the target of this node."""

import dataclasses

from fescueknot.identity import Address
from fescueknot.node.admission_desk import AdmissionDesk, build_desk
from fescueknot.node.dispatch import build_dispatcher
from fescueknot.node.door import Door
from fescueknot.node.keyed_runner import KeyedRunner
from fescueknot.node.levels_below import LevelsBelow
from fescueknot.node.locked_key_member import LockedKeyMember
from fescueknot.node.parents import ParentCalls
from fescueknot.node.runner import JobRunner
from fescueknot.node.runtime import Runtime
from fescueknot.node.spans import SpanWriter
from fescueknot.node.work import LocalWork


@dataclasses.dataclass(frozen=True, kw_only=True)
class RunnerComponents:
    """The runner of jobs, and what others share with it."""

    runner: JobRunner
    desk: AdmissionDesk
    door: Door
    parents: ParentCalls
    levels: LevelsBelow


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
    door = Door(threads=threads)
    desk = build_desk(runtime, initial_limit=target_slots)
    levels = LevelsBelow(heed=desk.heed)
    work = LocalWork(
        runtime=runtime,
        desk=desk,
        dispatcher=build_dispatcher(runtime, target, parents, desk),
        door=door,
        spans=spans,
        below=levels,
    )
    keyed_runner = KeyedRunner(
        runtime=runtime, key_member=key_member, work=work
    )
    return RunnerComponents(
        runner=JobRunner(work=work, keyed_runner=keyed_runner),
        desk=desk,
        door=door,
        parents=parents,
        levels=levels,
    )
