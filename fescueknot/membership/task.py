"""Gossip task: the thread that owns the membership state of a node."""

import functools
import logging
import queue
import random
from collections.abc import Callable, Mapping
from concurrent.futures import Executor, Future

from fescueknot.clock import Clock
from fescueknot.membership import commands
from fescueknot.membership.bulk import BulkClient, BulkFetch
from fescueknot.membership.core import MembershipCore
from fescueknot.membership.errors import BulkError
from fescueknot.membership.messages import Bulk
from fescueknot.membership.port import DatagramPort
from fescueknot.membership.published import PublishedMembership
from fescueknot.membership.publisher import Publisher
from fescueknot.membership.readers import ReadMode
from fescueknot.membership.schedule import TICK_PERIOD_S
from fescueknot.membership.task_start import start_task

_log = logging.getLogger('fescueknot.gossip')


class GossipTask(commands.CommandSink):
    """Runs a core on a socket; other threads send it commands.

    Other threads read the core's state as the task publishes it. Bulk copies
    are fetched on threads of the executor that the task was started on.
    """

    def __init__(
        self,
        *,
        core: MembershipCore,
        port: DatagramPort,
        published: PublishedMembership,
        bulk_client: BulkClient,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._core = core
        self._port = port
        self._publisher = Publisher(core=core, published=published)
        self._bulk_client = bulk_client
        self._clock = clock
        self._rng = rng
        self._commands: queue.SimpleQueue[commands.Command]
        self._commands = queue.SimpleQueue()
        self._read_mode = ReadMode.NONE
        self._is_running = True
        self._handlers: Mapping[type, Callable] = {
            commands.Announce: self._on_announce,
            commands.ApplyReading: self._on_reading,
            commands.ExportBulk: self._on_export_bulk,
            commands.ApplyBulk: self._on_apply_bulk,
            commands.Stop: self._on_stop,
        }

    def start(self, executor: Executor) -> 'Future[None]':
        """Run on a thread of ``executor``; the future ends with the task."""
        return start_task(executor, 'gossip', self._run, executor)

    def put(self, command: commands.Command) -> None:
        """Queue a command and wake the task."""
        self._commands.put(command)
        self._port.wake()

    def _run(self, executor: Executor) -> None:
        next_tick_s = self._clock.monotonic_s()
        while self._is_running:
            next_tick_s = self._step(next_tick_s, executor)
        self._port.close()

    def _step(self, next_tick_s: float, executor: Executor) -> float:
        """Wait for datagrams, commands or the next tick and handle them.

        Returns the time of the next tick.
        """
        timeout_s = max(0, next_tick_s - self._clock.monotonic_s())
        for incoming in self._port.receive(timeout_s=timeout_s):
            replies = self._core.receive(
                incoming, now_s=self._clock.monotonic_s(), rng=self._rng
            )
            self._port.send(replies)
        self._run_commands()
        now_s = self._clock.monotonic_s()
        if now_s >= next_tick_s:
            self._tick(now_s, executor)
            next_tick_s = now_s + TICK_PERIOD_S * self._rng.uniform(0.9, 1.1)
        self._publisher.publish(now_s=now_s, read_mode=self._read_mode)
        return next_tick_s

    def _tick(self, now_s: float, executor: Executor) -> None:
        self._port.send(self._core.tick(now_s=now_s, rng=self._rng))
        self._read_mode = self._publisher.read_mode(now_s=now_s, rng=self._rng)
        fetch = self._core.bulk.next_fetch(now_s=now_s)
        if fetch is not None:
            future = executor.submit(
                self._bulk_client.fetch, fetch.peer, fetch.request
            )
            future.add_done_callback(
                functools.partial(_enqueue_copy, self, fetch, now_s)
            )

    def _run_commands(self) -> None:
        while not self._commands.empty():
            command = self._commands.get()
            self._handlers[type(command)](command)

    def _on_announce(self, command: commands.Announce) -> None:
        now_s = self._clock.monotonic_s()
        notifications = self._core.announce(
            command.state, now_s=now_s, notify=command.notify
        )
        self._port.send(notifications)
        self._port.send(self._core.tick(now_s=now_s, rng=self._rng))

    def _on_reading(self, command: commands.ApplyReading) -> None:
        self._core.take_reading(command.reading)

    def _on_export_bulk(self, command: commands.ExportBulk) -> None:
        now_s = self._clock.monotonic_s()
        command.answer.set_result(
            self._core.bulk.export(command.request, now_s=now_s)
        )

    def _on_apply_bulk(self, command: commands.ApplyBulk) -> None:
        self._core.bulk.apply(
            command.bulk,
            asked_at_s=command.asked_at_s,
            now_s=self._clock.monotonic_s(),
        )

    def _on_stop(self, command: commands.Stop) -> None:
        self._is_running = False


def _enqueue_copy(
    task: GossipTask,
    fetch: BulkFetch,
    asked_at_s: float,
    future: 'Future[Bulk]',
) -> None:
    try:
        bulk = future.result()
    except BulkError as error:
        _log.warning('gossip: no copy from %s: %s', fetch.peer, error)
        return
    task.put(commands.ApplyBulk(bulk=bulk, asked_at_s=asked_at_s))
