"""Bounded calls in progress at a port, and a planned stop."""

from fescueknot.calls import Importance
from fescueknot.node.door import Door, Passage


class TestDoor:
    """Which calls are accepted."""

    def test_threads_are_reserved_for_refusals(self) -> None:
        door = Door(threads=4)
        with (
            door.passing(Importance.CRITICAL) as first,
            door.passing(Importance.CRITICAL) as second,
            door.passing(Importance.CRITICAL) as third,
        ):
            passages = (first, second, third)
        assert passages == (Passage.OPEN, Passage.OPEN, Passage.FULL)

    def test_threads_are_reserved_for_important_calls(self) -> None:
        door = Door(threads=4)
        with door.passing(Importance.LOW):
            with door.passing(Importance.LOW) as low:
                assert low is Passage.FULL
            with door.passing(Importance.CRITICAL) as critical:
                assert critical is Passage.OPEN

    def test_calls_in_progress_may_finish_after_close(self) -> None:
        door = Door(threads=4)
        with door.passing(Importance.LOW):
            door.close()
            with door.passing(Importance.CRITICAL) as late:
                assert late is Passage.CLOSED
            assert not door.wait_idle(timeout_s=0)
        assert door.wait_idle(timeout_s=0)

    def test_a_failing_call_is_no_longer_counted(self) -> None:
        door = Door(threads=4)
        try:
            with door.passing(Importance.LOW):
                raise LookupError
        except LookupError:
            assert door.in_progress == 0
