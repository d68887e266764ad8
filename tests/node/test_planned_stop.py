"""Answers that a server has not sent when it is stopped."""

import pytest

from fescueknot.wsgi_stop import ServerStop


class _Trigger:
    """Runs each function at once, as the loop of the server would."""

    def pull_trigger(self, function):
        function()

    def close(self):
        """Ignore the end of the loop."""


class _Dispatcher:
    def shutdown(self, timeout):
        """Ignore the end of the threads."""


class _Server:
    """A server as ``wasyncore`` and the stop see it, without a socket."""

    def __init__(self):
        self.trigger = _Trigger()
        self.task_dispatcher = _Dispatcher()
        self.connected = True
        self.socket = None
        self._fileno = None

    def del_channel(self, sockets=None):
        """Ignore the end of the port."""


class _Channel:
    """A connection that sends its answer within some rounds of the loop."""

    def __init__(self, *, handling=0, sending=0):
        self.closed_with = None
        self._handling = handling
        self._sending = sending

    @property
    def requests(self):
        self._handling -= 1
        return ['a request'] if self._handling >= 0 else []

    @property
    def total_outbufs_len(self):
        self._sending -= 1
        return max(0, self._sending)

    def close(self):
        left = max(0, self._handling) + max(0, self._sending)
        self.closed_with = left


def _stopped(channel, **settings):
    server = _Server()
    sockets = {1: server, 2: server.trigger, 3: channel}
    ServerStop(server=server, sockets=sockets, **settings).run(None)
    return channel.closed_with


class TestAnswersAtTheStop:
    """Connections that are closed with the server."""

    # Guards against answers that are cut off although their handlers have
    # ended in time, and requests that wait for a thread and get no answer.
    @pytest.mark.parametrize('work', [{'handling': 3}, {'sending': 4}])
    def test_the_rest_of_them_is_sent_first(self, work):
        assert _stopped(_Channel(**work), max_wait_s=60) == 0

    def test_a_client_that_reads_nothing_does_not_hold_up_the_stop(self):
        channel = _Channel(sending=10**9)
        assert _stopped(channel, max_wait_s=0.05) > 0

    def test_an_idle_connection_is_closed(self):
        assert _stopped(_Channel(), max_wait_s=60) == 0
