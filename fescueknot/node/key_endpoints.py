"""Control calls between the members of a service about their keys."""

import types

import msgspec

from fescueknot.idempotency.batches import EntryBatch, Receipt
from fescueknot.idempotency.messages import (
    Acknowledgement,
    Promise,
    PromiseRequest,
)
from fescueknot.identity import InstanceId
from fescueknot.node.control import ControlEndpoint
from fescueknot.node.locked_key_member import LockedKeyMember
from fescueknot.node.runtime import Runtime
from fescueknot.roster import Roster

PROMISE = 'keys/promise'
ADOPT = 'keys/adopt'
RELEASE = 'keys/release'
BATCH = 'keys/batch'
VERSION = 'keys/version'


class ReleaseRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A joiner asks a holder for the entries of the keys it will win."""

    joiner: InstanceId
    joined_version: int


class KeyEndpoints:
    """Answers the control calls of other members."""

    def __init__(self, *, desk: LockedKeyMember, runtime: Runtime) -> None:
        self._desk = desk
        self._runtime = runtime

    def table(self) -> types.MappingProxyType[str, ControlEndpoint]:
        """Return the endpoints by name."""
        return types.MappingProxyType(
            {
                PROMISE: ControlEndpoint(
                    request_type=PromiseRequest,
                    handler=self._promise,
                ),
                ADOPT: ControlEndpoint(
                    request_type=Roster, handler=self._adopt
                ),
                RELEASE: ControlEndpoint(
                    request_type=ReleaseRequest,
                    handler=self._release,
                ),
                VERSION: ControlEndpoint(
                    request_type=int,
                    handler=self._version,
                ),
                BATCH: ControlEndpoint(
                    request_type=EntryBatch,
                    handler=self._accept,
                ),
            }
        )

    def _promise(self, request: PromiseRequest) -> Promise | None:
        with self._desk.member() as member:
            return member.gate.promises.grant(request)

    def _adopt(self, roster: Roster) -> Acknowledgement:
        with self._desk.member() as member:
            return member.adopt(roster, now_s=self._runtime.now_s())

    def _version(self, known_version: int) -> Acknowledgement:
        with self._desk.member() as member:
            member.view.record_version(known_version)
            return member.view.acknowledgement()

    def _release(self, request: ReleaseRequest) -> tuple[EntryBatch, ...]:
        with self._desk.member() as member:
            return member.handover.release(
                request.joiner,
                joined_version=request.joined_version,
                now_s=self._runtime.now_s(),
            )

    def _accept(self, batch: EntryBatch) -> Receipt:
        with self._desk.member() as member:
            return member.handover.accept(batch, now_s=self._runtime.now_s())
