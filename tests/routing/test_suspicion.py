"""Detection of dead connections."""

from fescueknot.routing.suspicion import ConnectionState, ConnectionSuspicion


class TestSuspicion:
    """Connection states of one pool to one peer."""

    def test_idle_connections_of_a_dark_one_are_suspected(self):
        pool = ConnectionSuspicion()
        pool.opened(1, 0)
        pool.opened(2, 0)
        pool.opened(3, 6)
        assert pool.went_dark(1, 5) == (2,)
        assert pool.peer_lives(5)
        assert pool.state(1, 7) is ConnectionState.DARK
        assert pool.state(2, 7) is ConnectionState.SUSPECTED
        assert pool.state(3, 7) is ConnectionState.TRUSTED

    def test_answer_restores_trust(self):
        pool = ConnectionSuspicion()
        pool.opened(1, 0)
        assert pool.state(1, 31) is ConnectionState.SUSPECTED
        pool.answered(1, 31)
        assert pool.state(1, 32) is ConnectionState.TRUSTED
