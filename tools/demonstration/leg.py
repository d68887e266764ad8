"""One leg of the demo: one deployment, with or without the layer."""

import pathlib
import subprocess
from collections.abc import Iterator

import msgspec

from tools.demonstration import commands
from tools.demonstration.deployment import Deployment, Sizes
from tools.demonstration.errors import DemoError
from tools.demonstration.hosts import Host, hosts_of
from tools.demonstration.processes import Process, ProcessGroup
from tools.demonstration.readiness import (
    wait_for_keys,
    wait_for_nodes,
    wait_for_ports,
)
from tools.demonstration.report import (
    ClassResult,
    LegResult,
    by_class,
    judge,
    read_finished,
)
from tools.demonstration.store_control import StoreControl
from tools.demonstration.timeline import Timeline
from tools.standin.audit import read_runs

_START_TIMEOUT_S = 30
_RULES_TIMEOUT_S = 20
_LAST_ANSWERS_S = 20


class Stage(msgspec.Struct, frozen=True, kw_only=True):
    """What all legs of one run of the demo have in common."""

    sizes: Sizes
    timeline: Timeline
    binary: str = ''

    def place(self, folder: pathlib.Path) -> pathlib.Path:
        """Return where the program starts; the one file needs nothing."""
        return folder if self.binary else commands.ROOT


class Leg:
    """Starts, disturbs and ends the processes of one leg."""

    def __init__(
        self,
        *,
        deployment: Deployment,
        stage: Stage,
        folder: pathlib.Path,
        ports: Iterator[int],
        layered: bool,
    ) -> None:
        self.deployment = deployment
        self.layered = layered
        self._stage = stage
        self._folder = folder
        self.group = ProcessGroup(folder=folder)
        self.hosts = hosts_of(deployment, stage.sizes, ports)
        self._store_port = next(ports)
        self._callers: Process | None = None

    def start(self) -> None:
        """Start all processes but the callers and wait until they serve."""
        if self.layered:
            self._start_store()
        ports = [host.target_port for host in self.hosts]
        for each in self.hosts:
            self._start_host(each)
        wait_for_ports(ports, _START_TIMEOUT_S)
        if self.layered:
            wait_for_nodes(self.hosts, _START_TIMEOUT_S)
            keyed = [one for one in self.deployment.streams if one.keyed]
            wait_for_keys(self.hosts[0].entry, keyed, _START_TIMEOUT_S)

    def start_callers(self) -> None:
        """Start the callers; the timeline begins."""
        plan = self._folder / 'plan.json'
        commands.write_plan(
            plan,
            self.deployment,
            self._stage.sizes,
            self.hosts,
            layered=self.layered,
            shape=self._stage.timeline.shape(),
        )
        self._callers = self.group.start(
            'callers',
            commands.callers_command(plan, self._finished_file),
            commands.ROOT,
        )

    def set_outage(self, *, down: bool) -> None:
        """Begin or end an outage of the store."""
        if self.layered:
            StoreControl(port=self._store_port).set_outage(down=down)

    def lose_host(self) -> str:
        """Kill a target and its node at once; return the host's name."""
        lost = f'{self.deployment.lost}-1'
        if self.layered:
            self.group.kill(f'node-{lost}')
        self.group.kill(f'target-{lost}')
        return lost

    def progress(self) -> dict[str, ClassResult]:
        """Return the requests finished so far."""
        return by_class(read_finished(self._finished_file))

    def finish(self) -> LegResult:
        """Wait for the callers' last answer and judge."""
        if self._callers is None:
            raise DemoError('the callers were not started')
        try:
            self._callers.wait(_LAST_ANSWERS_S * self._stage.sizes.time_factor)
        except subprocess.TimeoutExpired as late:
            raise DemoError('the callers did not end in time') from late
        return judge(
            read_finished(self._finished_file),
            read_runs(str(self._audit_file)),
            surge_end_s=self._stage.timeline.surge_end_s,
            next_fault_s=self._stage.timeline.outage_start_s,
        )

    def end(self) -> None:
        """End all processes by their ids."""
        self.group.end()

    @property
    def _finished_file(self) -> pathlib.Path:
        return self._folder / 'finished.jsonl'

    @property
    def _audit_file(self) -> pathlib.Path:
        return self._folder / 'audit.jsonl'

    def _start_store(self) -> None:
        self.group.start(
            'store',
            commands.store_command(self._stage.binary, self._store_port),
            self._stage.place(self._folder),
        )
        wait_for_ports([self._store_port], _START_TIMEOUT_S)
        applied = subprocess.run(
            commands.rules_command(
                self._stage.binary, self.deployment.rules, self._store_port
            ),
            capture_output=True,
            cwd=self._stage.place(self._folder),
            check=False,
            timeout=_RULES_TIMEOUT_S,
        )
        if applied.returncode:
            raise DemoError(f'rules apply failed: {applied.stderr.decode()}')

    def _start_host(self, host: Host) -> None:
        self.group.start(
            f'target-{host.name}',
            commands.target_command(
                host,
                self._stage.sizes,
                self.hosts,
                self._audit_file,
                layered=self.layered,
            ),
            commands.ROOT,
        )
        if self.layered:
            settings = commands.write_settings(
                self._folder,
                host,
                self._store_port,
                self.hosts[0],
                lease_s=self._stage.sizes.lease_s,
            )
            self.group.start(
                f'node-{host.name}',
                commands.node_command(self._stage.binary, settings),
                self._stage.place(self._folder),
            )
