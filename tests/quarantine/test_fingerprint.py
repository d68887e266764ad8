"""Fingerprints of requests."""

import pytest

from fescueknot.httpio.messages import Request
from fescueknot.quarantine.fingerprint import fingerprint_of


def _request(**changes):
    fields = {
        'method': 'POST',
        'target': '/a/1?page=2',
        'headers': (('host', 'h'), ('attempt-id', 'a1')),
        'body': b'body',
    }
    return Request(**{**fields, **changes})


class TestFingerprint:
    """What makes two requests the same."""

    def test_attempts_of_one_request_have_one_fingerprint(self):
        again = _request(headers=(('attempt-id', 'a2'), ('host', 'h')))
        assert fingerprint_of(again, 'desk') == fingerprint_of(
            _request(), 'desk'
        )

    @pytest.mark.parametrize(
        'changes',
        [
            {'method': 'PUT'},
            {'target': '/a/1?page=3'},
            {'headers': (('host', 'other'),)},
            {'body': b'bodz'},
            {'target': '/a/1?page=2b', 'body': b'ody'},
        ],
    )
    def test_other_requests_have_other_fingerprints(self, changes):
        other = fingerprint_of(_request(**changes), 'desk')
        assert other != fingerprint_of(_request(), 'desk')

    def test_the_callers_service_counts(self):
        assert fingerprint_of(_request(), 'a') != fingerprint_of(
            _request(), 'b'
        )
