"""All hosts of a replay and what they know of each other."""

import collections

import msgspec

from fescueknot.identity import InstanceId
from fescueknot.replay.engine import Engine
from fescueknot.replay.events import HostUp
from fescueknot.replay.host import Host
from fescueknot.replay.line import Line
from fescueknot.replay.mechanisms import Mechanisms
from fescueknot.replay.state import Run
from fescueknot.routing.messages import Candidate, CandidateState
from fescueknot.routing.subset import Viewpoint

_ALWAYS_WARM_S = -1000.0


class Cut(msgspec.Struct, frozen=True, kw_only=True):
    """A request that was in progress when its host had left."""

    host: str
    request_id: str


class Fleet:
    """Hosts by name, routing state, and the audit of the targets."""

    def __init__(self, *, engine: Engine, mechanisms: Mechanisms) -> None:
        self.engine = engine
        self.mechanisms = mechanisms
        self.hosts: dict[str, Host] = {}
        self.runs: list[Run] = []
        self._key_runs: collections.Counter[str] = collections.Counter()
        self.cuts: list[Cut] = []
        self._states: dict[str, CandidateState] = {}

    def add(self, up: HostUp) -> Host:
        """Start a host; all others know it at once."""
        host = Host(up=up, engine=self.engine, mechanisms=self.mechanisms)
        self.hosts[up.name] = host
        self._states[up.name] = CandidateState.SERVING
        self._spread()
        return host

    def note_run(self, run: Run) -> None:
        """Take a begin of work into the audit."""
        self.runs.append(run)
        if run.key:
            self._key_runs[run.key] += 1

    def runs_of(self, key: str) -> int:
        """Return how often the work of a key has begun."""
        return self._key_runs[key]

    def forget(self, name: str) -> None:
        """Let all others know that a host is gone."""
        self._states.pop(name, None)
        self._spread()

    def hear_draining(self, name: str) -> None:
        """Let all others know that a host is leaving."""
        if self._states.get(name) is not None:
            self._states[name] = CandidateState.DRAINING
            self._spread()

    def of_service(self, service: str) -> tuple[Host, ...]:
        """Return the hosts of a service."""
        return tuple(
            host for host in self.hosts.values() if host.up.service == service
        )

    def find(self, instance: InstanceId) -> Host:
        """Return the host of an instance."""
        return self.hosts[instance.name]

    def line(self, origin: Host, service: str) -> Line:
        """Return what a host keeps about a service."""
        known = origin.lines.get(service)
        return known or self._new_line(origin, service)

    def _new_line(self, origin: Host, service: str) -> Line:
        viewpoint = Viewpoint(node=origin.instance, place=origin.place)
        line = Line(
            service=service,
            picker=self.mechanisms.picker(viewpoint),
            policy=self.mechanisms.retry_policy(),
        )
        line.picker.update(self._candidates(service))
        origin.lines[service] = line
        return line

    def _spread(self) -> None:
        for host in self.hosts.values():
            for line in host.lines.values():
                line.picker.update(self._candidates(line.service))

    def _candidates(self, service: str) -> tuple[Candidate, ...]:
        return tuple(
            Candidate(
                instance=host.instance,
                place=host.place,
                state=self._states[host.up.name],
                started_s=_ALWAYS_WARM_S,
            )
            for host in self.of_service(service)
            if host.up.name in self._states
        )
