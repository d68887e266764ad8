"""The target on this host: late, overtaken and foreign heartbeats."""

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


def _beat(instance='i-1', started_ms=1000, sequence=1, **changes):
    return Heartbeat(
        instance=instance,
        started_ms=started_ms,
        sequence=sequence,
        service='entries',
        slots=6,
        **changes,
    )


def _draining(**changes):
    return _beat(state=TargetState.DRAINING, **changes)


class TestHeartbeats:
    """Heartbeats."""

    def test_nothing_is_sent_before_the_first(self):
        assert _target().availability(0) is Availability.UNKNOWN

    def test_the_first_makes_it_serve(self):
        target = _target()
        assert target.receive_heartbeat(_beat(), 0) is HeartbeatEffect.NEW_START
        assert target.availability(0) is Availability.SERVING

    def test_one_of_an_earlier_start_changes_nothing(self):
        target = _target()
        target.receive_heartbeat(_beat('i-2', started_ms=2000), 0)
        assert (
            target.receive_heartbeat(_beat('i-1', sequence=99), 1)
            is HeartbeatEffect.STALE
        )
        assert target.current.instance == 'i-2'

    def test_a_start_under_the_same_name_begins_anew(self):
        target = _target()
        target.receive_heartbeat(_draining(sequence=50), 0)
        again = _beat(started_ms=2000, sequence=1)
        assert target.receive_heartbeat(again, 100) is HeartbeatEffect.NEW_START
        assert target.availability(100) is Availability.SERVING

    def test_an_overtaken_one_does_not_bring_a_leaving_target_back(self):
        target = _target()
        target.receive_heartbeat(_beat(sequence=1), 0)
        target.receive_heartbeat(_draining(sequence=3), 1)
        assert (
            target.receive_heartbeat(_beat(sequence=2), 1.1)
            is HeartbeatEffect.STALE
        )
        assert target.availability(1 + _ACCEPT_S) is Availability.LEFT

    def test_ready_after_draining_does_not_bring_it_back(self):
        target = _target()
        target.receive_heartbeat(_draining(sequence=3), 0)
        target.receive_heartbeat(_beat(sequence=4), 0.5)
        assert target.availability(_ACCEPT_S) is Availability.LEFT


class TestLeaving:
    """Leaving."""

    def test_late_arrivals_are_taken_for_a_while(self):
        target = _target()
        target.receive_heartbeat(_draining(), 10)
        assert target.availability(10) is Availability.LEAVING
        assert target.availability(10 + _ACCEPT_S) is Availability.LEFT

    def test_a_leave_without_draining_counts_the_same(self):
        target = _target()
        target.receive_heartbeat(_beat(), 0)
        assert target.receive_leave('i-1', 10, _LEFT_MS)
        assert target.availability(10 + _ACCEPT_S) is Availability.LEFT

    def test_a_leave_after_draining_does_not_prolong_it(self):
        target = _target()
        target.receive_heartbeat(_draining(), 10)
        target.receive_leave('i-1', 10 + _ACCEPT_S / 2, _LEFT_MS)
        assert target.availability(10 + _ACCEPT_S) is Availability.LEFT

    def test_a_heartbeat_after_the_leave_is_stale(self):
        target = _target()
        target.receive_heartbeat(_beat(), 0)
        target.receive_leave('i-1', 1, _LEFT_MS)
        assert (
            target.receive_heartbeat(_beat(sequence=9), 2)
            is HeartbeatEffect.STALE
        )

    def test_a_leave_of_another_target_changes_nothing(self):
        target = _target()
        target.receive_heartbeat(_beat(), 0)
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
    def test_once_it_left_it_stays_so_in_any_order(self, beats):
        target = _target()
        target.receive_heartbeat(_draining(sequence=10), 0)
        now_s = _ACCEPT_S
        for sequence, state, pause_s in beats:
            now_s += pause_s
            target.receive_heartbeat(
                _beat(sequence=sequence, state=state), now_s
            )
            assert target.availability(now_s) is Availability.LEFT


class TestLeftBeforeKnown:
    """A leave that comes before the target is known, after a restart."""

    def test_the_store_does_not_bring_it_back(self):
        target = _target()
        assert not target.receive_leave('i-1', 10, _LEFT_MS)
        assert not target.restore(_beat(sequence=0), 11)
        assert target.availability(11) is Availability.UNKNOWN

    def test_a_late_heartbeat_does_not_bring_it_back(self):
        target = _target()
        target.receive_leave('i-1', 10, _LEFT_MS)
        assert (
            target.receive_heartbeat(_beat(sequence=9), 11)
            is HeartbeatEffect.STALE
        )
        assert target.availability(11) is Availability.UNKNOWN

    def test_a_later_start_under_the_same_name_serves(self):
        target = _target()
        target.receive_leave('i-1', 10, _LEFT_MS)
        again = _beat(started_ms=_LEFT_MS + 1)
        assert target.receive_heartbeat(again, 11) is HeartbeatEffect.NEW_START


class TestRestored:
    """Restored."""

    def test_a_serving_target_serves_on(self):
        target = _target()
        target.restore(_beat(sequence=0), 100)
        assert target.availability(100) is Availability.SERVING

    def test_a_leaving_one_gets_nothing_more(self):
        target = _target()
        target.restore(_draining(sequence=0), 100)
        assert target.availability(100) is Availability.LEFT

    def test_its_next_heartbeats_count(self):
        target = _target()
        target.restore(_beat(sequence=0), 100)
        assert (
            target.receive_heartbeat(_draining(sequence=7), 101)
            is HeartbeatEffect.CHANGED
        )


class TestRefuted:
    """Refuted."""

    def test_a_wrong_target_is_forgotten_for_good(self):
        target = _target()
        target.receive_heartbeat(_beat('i-old', started_ms=5000), 0)
        assert target.remove_mismatched('i-old')
        assert target.availability(0) is Availability.UNKNOWN
        late = _beat('i-old', started_ms=5000, sequence=99)
        assert target.receive_heartbeat(late, 1) is HeartbeatEffect.STALE

    def test_the_true_target_is_taken_though_it_is_older(self):
        target = _target()
        target.receive_heartbeat(_beat('i-old', started_ms=5000), 0)
        target.remove_mismatched('i-old')
        assert (
            target.receive_heartbeat(_beat('i-true', started_ms=1), 1)
            is HeartbeatEffect.NEW_START
        )
