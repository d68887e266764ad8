"""Builds the components that run calls on the target of this node."""

import dataclasses

from fescueknot.identity import Address
from fescueknot.node.admission_desk import AdmissionDesk, build_desk
from fescueknot.node.dispatch import build_dispatcher
from fescueknot.node.door import Door
from fescueknot.node.key_desk import KeyDesk
from fescueknot.node.keyed_work import KeyedWork
from fescueknot.node.levels_below import LevelsBelow
from fescueknot.node.parents import ParentCalls
from fescueknot.node.runner import JobRunner
from fescueknot.node.runtime import Runtime
from fescueknot.node.spans import SpanWriter
from fescueknot.node.work import LocalWork


@dataclasses.dataclass(frozen=True, kw_only=True)
class WorkParts:
    """The runner of jobs, and the objects that others share with it."""

    runner: JobRunner
    desk: AdmissionDesk
    door: Door
    parents: ParentCalls
    levels: LevelsBelow


def build_work_parts(
    *,
    runtime: Runtime,
    target: Address,
    target_slots: int,
    threads: int,
    keys: KeyDesk,
    spans: SpanWriter,
) -> WorkParts:
    """Return the components for the target at the address ``target``."""
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
        levels=levels,
    )
    keyed = KeyedWork(runtime=runtime, desk=keys, work=work)
    return WorkParts(
        runner=JobRunner(work=work, keyed=keyed),
        desk=desk,
        door=door,
        parents=parents,
        levels=levels,
    )
