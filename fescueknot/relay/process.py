"""Starts, runs and stops the process of one node."""

import asyncio
import functools
import os

from fescueknot.relay import process_signals
from fescueknot.relay.adapter import Adapter
from fescueknot.relay.node_parts import NodeParts
from fescueknot.relay.settings import SettingsFile
from fescueknot.relay.supervisor import Supervisor


class NodeProcess:
    """Runs the parts of one node until a signal stops it."""

    def __init__(self, *, source: SettingsFile, adapter: Adapter) -> None:
        self._settings = source.current
        self._stop_requested = asyncio.Event()
        self._parts = NodeParts(
            source=source, adapter=adapter, is_ready=self._is_ready
        )
        self._supervisor = Supervisor(
            observer=self._parts.observer, rng=self._parts.rng
        )

    async def run(self) -> None:
        """Serve until a signal, then stop within the grace period."""
        await self._start()
        await self._stop_requested.wait()
        await self._stop()

    async def _start(self) -> None:
        """Start the tasks and listen."""
        loop = asyncio.get_running_loop()
        parts = self._parts
        loop.set_exception_handler(parts.faults.report_unhandled)
        process_signals.install(
            loop, stop=self._stop_requested.set, reload=parts.reloader.reload
        )
        self._start_tasks()
        await parts.servers.listen(self._settings)
        parts.observer.note('node.started', pid=os.getpid())
        if process_signals.was_held():
            parts.reloader.reload()

    async def _stop(self) -> None:
        """Stop within the grace period and write what is left of the log."""
        parts = self._parts
        stop = parts.graceful_stop
        parts.observer.note('node.stopping', busy=stop.in_progress())
        stop_task = asyncio.get_running_loop().create_task(
            stop.run(parts.reloader.current.bounds.grace_s)
        )
        stop_task.add_done_callback(self._task_ended)
        await asyncio.wait((stop_task,))
        parts.observer.note(
            'node.stopped', unanswered=dict(parts.servers.unanswered())
        )
        await parts.housekeeping.finish()
        await stop.settle()
        parts.log.flush()

    def _start_tasks(self) -> None:
        """Start the tasks that run until the process ends."""
        fleet = self._parts.fleet
        works = {
            'synchronisation': self._synchronise,
            'entry publisher': fleet.sync.publisher.run,
            'quarantine archive': functools.partial(
                fleet.suspects.run_archive,
                fleet.sync.counted_store('quarantine'),
            ),
            'housekeeping': self._parts.housekeeping.run,
            **fleet.quotas.works(fleet.sync.counted_store('quota')),
        }
        for name, work in works.items():
            task = self._supervisor.start(name, work)
            task.add_done_callback(self._task_ended)

    async def _synchronise(self) -> None:
        """Read the initial state from the store, then keep it up to date."""
        fleet = self._parts.fleet
        await fleet.sync.start()
        listed = fleet.directory.entry_of(self._settings.node) is not None
        await fleet.registrar.start(listed=listed)
        await fleet.sync.run()

    def _is_ready(self) -> bool:
        return not self._stop_requested.is_set() and self._parts.fleet.is_loaded

    def _task_ended(self, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is not None:
            self._parts.faults.report(task.exception())
            self._stop_requested.set()
