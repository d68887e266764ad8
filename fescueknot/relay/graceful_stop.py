"""Stops a node without cutting off requests in progress."""

import asyncio

from fescueknot.httpio.server import Server
from fescueknot.relay.caller_handler import CallerHandler
from fescueknot.relay.gatekeeper import Gatekeeper
from fescueknot.relay.intake import Intake

# During this time each connection is closed after its answer in progress, so
# that callers move to other nodes. New requests of callers are still relayed.
# All times count from when the process sees the signal, late if it is busy.
_CALLERS_LEAVE_WAIT_S = 2.1
# Without requests in progress for this time, the node counts as idle.
_MIN_IDLE_S = 0.4
# Part of the grace period that is kept for the last answers.
_FINAL_ANSWERS_RESERVE_S = 0.9
_FINAL_ANSWERS_TIMEOUT_S = 0.4
# Calls that are sent on at the end of the grace period get this time at least.
_MIN_TIME_OF_CALL_S = 1.0
# Requests in progress are answered this long before connections are cut.
_ANSWER_MARGIN_S = 0.4
_POLL_INTERVAL_S = 0.05
# Turns of the event loop in which a connection is accepted and its request read
# and answered. Without any work for as many, nothing has arrived.
_QUIET_TURNS = 8
_MAX_LAST_TURNS = 32
# A connection that was just accepted is known to its server at the next look.
_QUIET_LOOKS = 2


class GracefulStop:
    """Ends the work of one node within a grace period."""

    def __init__(
        self,
        *,
        caller_server: Server,
        peer_server: Server,
        caller_handler: CallerHandler,
        gatekeeper: Gatekeeper,
    ) -> None:
        self._caller_server = caller_server
        self._peer_server = peer_server
        self._caller_handler = caller_handler
        self._gatekeeper = gatekeeper

    async def run(self, grace_s: float) -> None:
        """Stop; return when idle or when the grace period is nearly over."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + grace_s - _FINAL_ANSWERS_RESERVE_S
        self._gatekeeper.stopping = True
        self._caller_server.drain()
        self._peer_server.drain()
        end_s = deadline_s + _FINAL_ANSWERS_TIMEOUT_S
        await asyncio.sleep(_CALLERS_LEAVE_WAIT_S)
        self._caller_handler.limit_intake(
            Intake.REPEATABLE_CALLS, answer_by_s=end_s - _ANSWER_MARGIN_S
        )
        await self._wait_until_idle(deadline_s - _MIN_TIME_OF_CALL_S)
        self._caller_handler.limit_intake(Intake.NOTHING)
        await self._finish_requests(end_s)

    async def settle(self) -> None:
        """Answer what has been read or has arrived; then the process may end.

        Takes a bounded number of turns of the event loop and waits for nothing.
        """
        turns = 0
        quiet_turns = 0
        while turns < _MAX_LAST_TURNS and quiet_turns < _QUIET_TURNS:
            await asyncio.sleep(0)
            has_work = self._stop_listening() or self.in_progress()
            quiet_turns = 0 if has_work else quiet_turns + 1
            turns += 1

    def in_progress(self) -> int:
        """Return the number of requests in progress.

        A request is in progress from its first byte until its response has
        been read.
        """
        return sum(
            server.requests_unfinished
            + server.requests_in_progress
            + server.responses_unread
            for server in (self._caller_server, self._peer_server)
        )

    def _stop_listening(self) -> bool:
        """Stop listening; return whether there is input to be read."""
        has_callers = self._caller_server.stop_listening()
        has_peers = self._peer_server.stop_listening()
        return has_callers or has_peers

    async def _finish_requests(self, end_s: float) -> None:
        """Stop listening, and answer what was read or accepted before.

        This begins well before the end: a process that waits for a processor
        would not read connections that its kernel accepts at the last moment.
        """
        loop = asyncio.get_running_loop()
        quiet_looks = 0
        while quiet_looks < _QUIET_LOOKS and loop.time() < end_s:
            has_input = self._stop_listening()
            is_quiet = not has_input and not self.in_progress()
            quiet_looks = quiet_looks + 1 if is_quiet else 0
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def _wait_until_idle(self, deadline_s: float) -> None:
        loop = asyncio.get_running_loop()
        idle_since_s = loop.time()
        while loop.time() < deadline_s:
            if self.in_progress():
                idle_since_s = loop.time()
            if loop.time() - idle_since_s >= _MIN_IDLE_S:
                return
            await asyncio.sleep(_POLL_INTERVAL_S)
