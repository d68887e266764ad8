"""Tests the local target: late, reordered and mismatched heartbeats."""

from hypothesis import given
from hypothesis import strategies as st

from fescueknot.targets.local_target import (
    Availability,
    HeartbeatEffect,
    LeavingBounds,
    LocalTarget,
)
from fescueknot.targets.messages import Heartbeat, TargetState

_ACCEPT_S = 1.0
_LEFT_MS = 9000


def _target():
    return LocalTarget(bounds=LeavingBounds(accept_s=_ACCEPT_S))


def _heartbeat(instance='i-1', started_ms=1000, sequence=1, **changes):
    return Heartbeat(
        instance=instance,
        started_ms=started_ms,
        sequence=sequence,
        service='entries',
        slots=6,
        **changes,
    )


def _draining_heartbeat(**changes):
    return _heartbeat(state=TargetState.DRAINING, **changes)


class TestHeartbeats:
    """Order of heartbeats and starts."""

    def test_no_target_is_known_before_the_first_heartbeat(self):
        assert _target().availability(0) is Availability.UNKNOWN

    def test_the_first_heartbeat_makes_the_target_serve(self):
        target = _target()
        assert (
            target.receive_heartbeat(_heartbeat(), 0)
            is HeartbeatEffect.NEW_START
        )
        assert target.availability(0) is Availability.SERVING

    def test_a_heartbeat_of_an_earlier_start_is_stale(self):
        target = _target()
        target.receive_heartbeat(_heartbeat('i-2', started_ms=2000), 0)
        assert (
            target.receive_heartbeat(_heartbeat('i-1', sequence=99), 1)
            is HeartbeatEffect.STALE
        )
        assert target.current.instance == 'i-2'

    def test_a_restart_under_the_same_name_serves(self):
        target = _target()
        target.receive_heartbeat(_draining_heartbeat(sequence=50), 0)
        restarted = _heartbeat(started_ms=2000, sequence=1)
        assert (
            target.receive_heartbeat(restarted, 100)
            is HeartbeatEffect.NEW_START
        )
        assert target.availability(100) is Availability.SERVING

    def test_a_late_heartbeat_does_not_end_draining(self):
        target = _target()
        target.receive_heartbeat(_heartbeat(sequence=1), 0)
        target.receive_heartbeat(_draining_heartbeat(sequence=3), 1)
        assert (
            target.receive_heartbeat(_heartbeat(sequence=2), 1.1)
            is HeartbeatEffect.STALE
        )
        assert target.availability(1 + _ACCEPT_S) is Availability.LEFT

    def test_a_serving_heartbeat_after_draining_does_not_end_it(self):
        target = _target()
        target.receive_heartbeat(_heartbeat(sequence=2), 0)
        target.receive_heartbeat(_draining_heartbeat(sequence=3), 0)
        target.receive_heartbeat(_heartbeat(sequence=4), 0.5)
        assert target.availability(_ACCEPT_S) is Availability.LEFT


class TestLeavingAnswers:
    """Answers of the target which say that it leaves."""

    def test_the_bound_runs_from_the_first_such_answer(self):
        target = _target()
        target.receive_heartbeat(_heartbeat(), 0)
        assert target.receive_leaving_answer('i-1', 1000, 5)
        assert not target.receive_leaving_answer('i-1', 1000, 5.5)
        assert target.availability(5) is Availability.LEAVING
        assert target.availability(5 + _ACCEPT_S) is Availability.LEFT

    def test_an_answer_of_an_earlier_start_changes_nothing(self):
        target = _target()
        target.receive_heartbeat(_heartbeat(started_ms=2000), 0)
        assert not target.receive_leaving_answer('i-1', 1000, 5)
        assert not target.is_leaving('i-1', 2000)

    def test_a_serving_heartbeat_does_not_end_it(self):
        target = _target()
        target.receive_heartbeat(_heartbeat(sequence=1), 0)
        target.receive_leaving_answer('i-1', 1000, 1)
        target.receive_heartbeat(_heartbeat(sequence=2), 1.5)
        assert target.availability(1 + _ACCEPT_S) is Availability.LEFT

    def test_the_draining_heartbeat_after_it_is_still_a_change(self):
        """Its acknowledgement has to wait for the store."""
        target = _target()
        target.receive_heartbeat(_heartbeat(sequence=1), 0)
        target.receive_leaving_answer('i-1', 1000, 1)
        draining = _draining_heartbeat(sequence=2)
        assert (
            target.receive_heartbeat(draining, 1.5) is HeartbeatEffect.CHANGED
        )


class TestLeaving:
    """Draining, leaving and the bound for late arrivals."""

    def test_late_arrivals_are_accepted_within_the_bound(self):
        target = _target()
        target.receive_heartbeat(_heartbeat(sequence=1), 0)
        target.receive_heartbeat(_draining_heartbeat(sequence=2), 10)
        assert target.availability(10) is Availability.LEAVING
        assert target.availability(10 + _ACCEPT_S) is Availability.LEFT

    def test_a_start_that_is_first_heard_of_as_draining_gets_no_call(self):
        # A node that was killed knows no more since when its target drains.
        target = _target()
        target.receive_heartbeat(_draining_heartbeat(), 10)
        assert target.availability(10) is Availability.LEFT

    def test_a_leave_without_draining_has_the_same_bound(self):
        target = _target()
        target.receive_heartbeat(_heartbeat(), 0)
        assert target.receive_leave('i-1', 10, _LEFT_MS)
        assert target.availability(10 + _ACCEPT_S) is Availability.LEFT

    def test_a_leave_after_draining_does_not_extend_the_bound(self):
        target = _target()
        target.receive_heartbeat(_heartbeat(sequence=1), 0)
        target.receive_heartbeat(_draining_heartbeat(sequence=2), 10)
        target.receive_leave('i-1', 10 + _ACCEPT_S / 2, _LEFT_MS)
        assert target.availability(10 + _ACCEPT_S) is Availability.LEFT

    def test_a_heartbeat_after_the_leave_is_stale(self):
        target = _target()
        target.receive_heartbeat(_heartbeat(), 0)
        target.receive_leave('i-1', 1, _LEFT_MS)
        assert (
            target.receive_heartbeat(_heartbeat(sequence=9), 2)
            is HeartbeatEffect.STALE
        )

    def test_a_leave_of_another_target_changes_nothing(self):
        target = _target()
        target.receive_heartbeat(_heartbeat(), 0)
        assert not target.receive_leave('i-9', 1, _LEFT_MS)
        assert target.availability(100) is Availability.SERVING

    @given(
        st.lists(
            st.tuples(
                st.integers(1, 30),
                st.sampled_from(list(TargetState)),
                st.floats(0, 5),
            ),
            max_size=30,
        )
    )
    def test_a_target_that_left_stays_so_after_any_heartbeats(self, heartbeats):
        target = _target()
        target.receive_heartbeat(_draining_heartbeat(sequence=10), 0)
        now_s = _ACCEPT_S
        for sequence, state, pause_s in heartbeats:
            now_s += pause_s
            target.receive_heartbeat(
                _heartbeat(sequence=sequence, state=state), now_s
            )
            assert target.availability(now_s) is Availability.LEFT


class TestLeaveBeforeHeartbeat:
    """A leave that arrives before the first heartbeat, after a restart."""

    def test_a_stored_entry_is_not_restored_after_a_leave(self):
        target = _target()
        assert not target.receive_leave('i-1', 10, _LEFT_MS)
        assert not target.restore(_heartbeat(sequence=0), 11)
        assert target.availability(11) is Availability.UNKNOWN

    def test_a_late_heartbeat_after_a_leave_is_stale(self):
        target = _target()
        target.receive_leave('i-1', 10, _LEFT_MS)
        assert (
            target.receive_heartbeat(_heartbeat(sequence=9), 11)
            is HeartbeatEffect.STALE
        )
        assert target.availability(11) is Availability.UNKNOWN

    def test_a_start_after_the_leave_serves(self):
        target = _target()
        target.receive_leave('i-1', 10, _LEFT_MS)
        restarted = _heartbeat(started_ms=_LEFT_MS + 1)
        assert (
            target.receive_heartbeat(restarted, 11) is HeartbeatEffect.NEW_START
        )


class TestRestore:
    """Restore from the stored entry after a restart."""

    def test_a_target_stored_as_serving_is_not_restored(self):
        # Guards against work for a target whose leaving the store has lost.
        target = _target()
        assert not target.restore(_heartbeat(sequence=0), 100)
        assert target.availability(100) is Availability.UNKNOWN

    def test_a_draining_target_is_restored_as_left(self):
        target = _target()
        target.restore(_draining_heartbeat(sequence=0), 100)
        assert target.availability(100) is Availability.LEFT

    def test_a_serving_heartbeat_does_not_end_what_was_restored(self):
        target = _target()
        target.restore(_draining_heartbeat(sequence=0), 100)
        target.receive_heartbeat(_heartbeat(sequence=7), 101)
        assert target.availability(101) is Availability.LEFT


class TestDepartures:
    """What other nodes say of targets that have left."""

    def test_a_start_that_has_left_gets_no_call(self):
        target = _target()
        target.receive_heartbeat(_heartbeat(started_ms=1000), 0)
        assert target.receive_departure('i-1', 1000, 5)
        assert target.availability(5) is Availability.LEFT

    def test_a_later_start_serves(self):
        target = _target()
        target.receive_heartbeat(_heartbeat(started_ms=1001), 0)
        assert not target.receive_departure('i-1', 1000, 5)
        assert target.availability(5) is Availability.SERVING

    def test_a_heartbeat_after_it_is_stale(self):
        target = _target()
        assert not target.receive_departure('i-1', 1000, 5)
        heartbeat = _heartbeat(started_ms=1000)
        assert target.receive_heartbeat(heartbeat, 6) is HeartbeatEffect.STALE

    def test_it_does_not_shorten_the_time_for_late_arrivals(self):
        target = _target()
        target.receive_heartbeat(_heartbeat(), 0)
        target.receive_leave('i-1', 10, _LEFT_MS)
        assert not target.receive_departure('i-1', _LEFT_MS, 10)
        assert target.availability(10) is Availability.LEAVING

    def test_they_are_bounded(self, monkeypatch):
        monkeypatch.setattr(
            'fescueknot.targets.local_target._MAX_LEFT_INSTANCES', 2
        )
        target = _target()
        for number in range(3):
            target.receive_departure(f'i-{number}', 1000, number)
        assert not target.left_until_ms('i-0')
        assert target.left_until_ms('i-2') == 1000

    def test_an_older_departure_does_not_bring_a_start_back(self):
        target = _target()
        target.receive_departure('i-1', 2000, 5)
        target.receive_departure('i-1', 1000, 6)
        heartbeat = _heartbeat(started_ms=1500)
        assert target.receive_heartbeat(heartbeat, 7) is HeartbeatEffect.STALE


class TestMismatch:
    """A target whose address turned out to be that of another instance."""

    def test_a_mismatched_start_is_never_accepted_again(self):
        target = _target()
        target.receive_heartbeat(_heartbeat('i-old', started_ms=5000), 0)
        assert target.remove_mismatched('i-old')
        assert target.availability(0) is Availability.UNKNOWN
        late = _heartbeat('i-old', started_ms=5000, sequence=99)
        assert target.receive_heartbeat(late, 1) is HeartbeatEffect.STALE

    def test_another_instance_is_accepted_though_it_started_earlier(self):
        target = _target()
        target.receive_heartbeat(_heartbeat('i-old', started_ms=5000), 0)
        target.remove_mismatched('i-old')
        assert (
            target.receive_heartbeat(_heartbeat('i-true', started_ms=1), 1)
            is HeartbeatEffect.NEW_START
        )
