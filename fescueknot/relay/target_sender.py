"""Sends admitted calls to the target and records what their ends show."""

import asyncio
from collections.abc import Callable

import msgspec

from fescueknot.relay.announced_state import AnnouncedState
from fescueknot.relay.announcement import Announcement
from fescueknot.relay.crash_watch import CrashWatch
from fescueknot.relay.dispatch import Dispatcher
from fescueknot.relay.messages import (
    AnswerHead,
    Call,
    CallHead,
    Ending,
    RefusedFor,
    Reply,
    reply_without_response,
)
from fescueknot.relay.runs import LocalRuns, Run
from fescueknot.relay.suspect_requests import SuspectRequests
from fescueknot.running_loop import running_loop
from fescueknot.targets.local_target import LocalTarget

_MS_PER_S = 1000
_TARGET_CRASHED = 'the target crashed'
CALLER_LEFT = 'the caller left'
_CANCELLED_REPLY = Reply(
    head=AnswerHead(ending=Ending.UNKNOWN, detail=CALLER_LEFT)
)


class TargetSender:
    """Sends calls to one target.

    ``note`` logs an event of a call. ``on_target_leaving`` is called when the
    first answer says that the target leaves.
    """

    def __init__(
        self,
        *,
        target: LocalTarget,
        dispatcher: Dispatcher,
        runs: LocalRuns,
        announced: AnnouncedState,
        suspects: SuspectRequests,
        note: Callable[..., None],
        on_target_leaving: Callable[[], None],
    ) -> None:
        self._target = target
        self._dispatcher = dispatcher
        self._runs = runs
        self._announced = announced
        self._suspects = suspects
        self._note = note
        self._on_target_leaving = on_target_leaving
        self._crash_watch = CrashWatch(
            is_listening=dispatcher.is_listening, on_crash=self._target_crashed
        )

    async def send(self, call: Call) -> Reply:
        """Send a call; return its result without the target's load."""
        run = Run(
            attempt=call.head.attempt,
            route=call.head.route,
            lineage=call.head.lineage,
            expires_s=call.expires_s,
        )
        run_id = self._runs.begin(run)
        began_s = running_loop().time()
        self._crash_watch.begin(call)
        try:
            reply = await self._send_and_check(call)
        except asyncio.CancelledError:
            self._crash_watch.break_off(call)
            self._note_sent(call, _CANCELLED_REPLY, began_s)
            raise
        finally:
            failed_below = self._runs.end(run_id)
            self._suspects.end(call)
        self._note_sent(call, reply, began_s)
        self._record_end(call, reply)
        head = msgspec.structs.replace(reply.head, failed_below=failed_below)
        return Reply(head=head, response=reply.response, figures=reply.figures)

    async def _send_and_check(self, call: Call) -> Reply:
        """Send a call; if its answer is lost, check the target first."""
        reply = await self._dispatcher.send(call)
        if reply.is_connection_lost and await self._crash_watch.has_crashed():
            self._crash_watch.end(call)
            return reply_without_response(Ending.UNKNOWN, _TARGET_CRASHED)
        if reply.head.ending is Ending.UNKNOWN:
            self._crash_watch.break_off(call)
        else:
            self._crash_watch.end(call)
        return reply

    def _record_end(self, call: Call, reply: Reply) -> None:
        if reply.is_success:
            self._suspects.record_success(call)
        if reply.announcement is not None:
            self._record_announcement(call.head, reply.announcement)
        if reply.head.refused_for is RefusedFor.OTHER_TARGET:
            self._target.remove_mismatched(call.head.instance)

    def _target_crashed(self, fingerprints: tuple[str, ...]) -> None:
        current = self._target.current
        if current is not None:
            start = (current.instance, current.started_ms)
            self._suspects.record_crash(start, fingerprints)

    def _record_announcement(
        self, head: CallHead, announcement: Announcement
    ) -> None:
        start = (head.instance, head.started_ms)
        now_s = running_loop().time()
        self._announced.record(start, announcement, now_s)
        if announcement.is_leaving and self._target.receive_leaving_answer(
            *start, now_s
        ):
            self._on_target_leaving()

    def _note_sent(self, call: Call, reply: Reply, began_s: float) -> None:
        duration_s = running_loop().time() - began_s
        self._note(
            'gate.sent',
            call,
            ms=int(duration_s * _MS_PER_S),
            ending=str(reply.head.ending),
            status=reply.response.status if reply.response else 0,
            detail=reply.head.detail,
        )
