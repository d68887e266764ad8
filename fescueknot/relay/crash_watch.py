"""Finds out that the target on this host has crashed, and under which calls.

When a target crashes, the connections of all calls in progress end without an
answer and its host refuses new ones. A target that lost one answer, or whose
connections were reset, still listens.
"""

import asyncio
import collections
from collections.abc import Awaitable, Callable

from fescueknot.quarantine.fingerprint import fingerprint_of
from fescueknot.relay.messages import Call
from fescueknot.running_loop import running_loop

# A call that was broken off may still run at the target for this time.
_BROKEN_OFF_RUN_S = 2.0
_MAX_BROKEN_OFF = 256


class CrashWatch:
    """Keeps the calls at the target, and checks it when answers are lost.

    ``is_listening`` returns whether the target's process listens. ``on_crash``
    is called with the fingerprints of the calls that it had when it crashed.
    """

    def __init__(
        self,
        *,
        is_listening: Callable[[], Awaitable[bool]],
        on_crash: Callable[[tuple[str, ...]], None],
    ) -> None:
        self._is_listening = is_listening
        self._on_crash = on_crash
        self._running: dict[str, Call] = {}
        self._broken_off: collections.deque[tuple[float, str]] = (
            collections.deque(maxlen=_MAX_BROKEN_OFF)
        )
        self._check: asyncio.Task[bool] | None = None

    def begin(self, call: Call) -> None:
        """Record that a call is sent to the target."""
        self._running[call.head.attempt] = call

    def end(self, call: Call) -> None:
        """Record that a call has ended at the target."""
        self._running.pop(call.head.attempt, None)

    def break_off(self, call: Call) -> None:
        """Record that a call was given up; the target may still run it."""
        self.end(call)
        now_s = running_loop().time()
        self._broken_off.append((now_s, fingerprint_of_call(call)))

    async def has_crashed(self) -> bool:
        """Return whether the target has crashed, after an answer was lost.

        Calls that lose their answers meanwhile share one check.
        """
        if self._check is None:
            self._check = asyncio.ensure_future(self._run_check())
        return await asyncio.shield(self._check)

    async def _run_check(self) -> bool:
        try:
            is_listening = await self._is_listening()
        finally:
            self._check = None
        if not is_listening:
            self._on_crash(self._fingerprints_at_target())
            self._broken_off.clear()
        return not is_listening

    def _fingerprints_at_target(self) -> tuple[str, ...]:
        oldest_s = running_loop().time() - _BROKEN_OFF_RUN_S
        broken_off = (
            fingerprint
            for ended_s, fingerprint in self._broken_off
            if ended_s >= oldest_s
        )
        return (*map(fingerprint_of_call, self._running.values()), *broken_off)


def fingerprint_of_call(call: Call) -> str:
    """Return the fingerprint of the request of a call."""
    return fingerprint_of(call.request, call.head.caller_service)
