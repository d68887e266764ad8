"""Tests the memory of a node's process beside targets that never end.

All kinds take a minute and a half; by hand, with the peak of each:

    ENDLESS_KINDS=all python -m pytest -s -k TestPeakOfTheProcess
"""

import asyncio
import os
import sys

import pytest

from tests.platform.endless_rig import KINDS, MEMORY_MB, NodeBesideTarget

_CALLS_EACH = 4
# The longest body that is taken, and what the kernel holds at both ends.
_READ_MB = 30
_WORST = ('length', 'chunks', 'until close', 'empty lines')
_CHOSEN = tuple(KINDS) if os.environ.get('ENDLESS_KINDS') == 'all' else _WORST


@pytest.mark.skipif(sys.platform != 'linux', reason='reads /proc')
class TestPeakOfTheProcess:
    """120 answers that never end, 30 at a time."""

    @pytest.mark.parametrize('kind', _CHOSEN)
    def test_the_process_stays_below_its_limit(self, kind, tmp_path):
        # Guards against nodes that are killed for memory their books call free.
        async def scenario():
            node = NodeBesideTarget(kind=kind, folder=tmp_path)
            async with node.running():
                await node.call_at_once(_CALLS_EACH)
                sent_mb = sum(node.target.sent_bytes.values()) / 1_000_000
                sys.stdout.write(
                    f'{kind}: peak {node.peak_mb():.0f} MB,'
                    f' {node.target.answers} answers, {sent_mb:.0f} MB sent,'
                    f' {dict(node.statuses)}\n'
                )
                return node.peak_mb(), node.target.answers, sent_mb

        peak_mb, answers, sent_mb = asyncio.run(scenario())
        assert answers >= _CALLS_EACH
        assert peak_mb < MEMORY_MB
        assert sent_mb < answers * _READ_MB
