"""Whether a host runs, and what it has in progress."""


class Condition:
    """The state of one host that is no decision.

    ``gone`` is set once the host has ended, ``planned`` when that was a
    planned stop. ``draining_s`` is when it was told to leave; the door
    closes for new work some time later.
    """

    def __init__(self) -> None:
        self.gone = False
        self.planned = False
        self.draining_s: float | None = None
        self.door_closed = False
        self.in_progress = 0
        self.paused_until_s = float(0)
