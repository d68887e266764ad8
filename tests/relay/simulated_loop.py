"""An event loop whose clock jumps to the next timer instead of waiting."""

import asyncio
import selectors


class _PollingSelector(selectors.SelectSelector):
    """Polls, and advances the clock of its loop by the time to wait."""

    def __init__(self):
        super().__init__()
        self.now_s = float(0)

    def select(self, timeout=None):
        self.now_s += max(0, timeout or 0)
        return super().select(0)


class SimulatedLoop(asyncio.SelectorEventLoop):
    """Runs coroutines in simulated time."""

    def __init__(self):
        self._polling = _PollingSelector()
        super().__init__(self._polling)

    def time(self):
        return self._polling.now_s


def run_simulated(scenario, *arguments):
    """Run ``scenario(*arguments)`` from second 0 of a simulated clock."""
    with asyncio.Runner(loop_factory=SimulatedLoop) as runner:
        return runner.run(scenario(*arguments))
