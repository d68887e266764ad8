"""A process of the rig: its scene, its records and its end."""

import asyncio
import pathlib
import signal
from collections.abc import Awaitable, Callable

import msgspec

from tools.site_rig.loop_lag import measure_lag
from tools.site_rig.records import RecordFile
from tools.site_rig.scene import Scene, read_scene


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """What the work of a process is given."""

    scene: Scene
    group: int
    records: RecordFile


Work = Callable[[Member], Awaitable[None]]


def run_member(work: Work, arguments: list[str]) -> None:
    """Work until SIGTERM; arguments: scene, group, file of the records."""
    scene_path, group, records_path = arguments
    records = RecordFile(path=pathlib.Path(records_path))
    member = Member(
        scene=read_scene(pathlib.Path(scene_path)),
        group=int(group),
        records=records,
    )
    try:
        asyncio.run(_until_ended(work, member))
    finally:
        records.close()


async def _until_ended(work: Work, member: Member) -> None:
    ended = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, ended.set)
    working = asyncio.ensure_future(work(member))
    lag = asyncio.ensure_future(measure_lag(member.records))
    ending = asyncio.ensure_future(ended.wait())
    done, _ = await asyncio.wait(
        (working, ending), return_when=asyncio.FIRST_COMPLETED
    )
    if working in done:
        await working
        await ended.wait()
    for task in (working, lag, ending):
        task.cancel()
