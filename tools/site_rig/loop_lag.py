"""Measures how long an event loop stands still."""

import asyncio
import time

from tools.site_rig.records import LagRecord, RecordFile

_INTERVAL_S = 0.005
_NOTED_FROM_S = 0.01


async def measure_lag(records: RecordFile) -> None:
    """Note for ever when the loop has come late."""
    while True:
        due_s = time.monotonic() + _INTERVAL_S
        await asyncio.sleep(_INTERVAL_S)
        now_s = time.monotonic()
        if now_s - due_s > _NOTED_FROM_S:
            records.add(LagRecord(at_s=now_s, lag_s=now_s - due_s))
