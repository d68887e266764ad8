"""Encoding of rosters in the store: services share objects, the buckets."""

import zlib

import msgspec

from fescueknot.decoding import DECODE_ERRORS
from fescueknot.membership.errors import MembershipError
from fescueknot.roster import Roster

PREFIX = 'roster/'
BUCKET_COUNT = 2048


class RosterBucket(msgspec.Struct, frozen=True, kw_only=True):
    """The rosters of the services of one bucket, sorted by service name."""

    rosters: tuple[Roster, ...] = ()

    def find(self, service: str) -> Roster:
        """Return the roster of a service, an empty roster if it has none."""
        for roster in self.rosters:
            if roster.service == service:
                return roster
        return Roster(service=service)

    def with_roster(self, roster: Roster) -> 'RosterBucket':
        """Return a copy of the bucket with the service's roster replaced."""
        rosters = [
            stored
            for stored in self.rosters
            if stored.service != roster.service
        ]
        rosters.append(roster)
        rosters.sort(key=lambda stored: stored.service)
        return RosterBucket(rosters=tuple(rosters))


def bucket_key(service: str, *, bucket_count: int = BUCKET_COUNT) -> str:
    """Return the key of the store object with the roster of a service."""
    return f'{PREFIX}{zlib.crc32(service.encode()) % bucket_count}'


def decode_bucket(content: str | None) -> RosterBucket:
    """Decode a bucket from the content of its object.

    Raises ``MembershipError`` if the content is not valid.
    """
    if content is None:
        return RosterBucket()
    try:
        return msgspec.json.decode(content, type=RosterBucket)
    except DECODE_ERRORS as error:
        raise MembershipError(f'invalid roster object: {error}') from error


def encode_bucket(bucket: RosterBucket) -> str:
    """Encode a bucket as the content of its object."""
    return msgspec.json.encode(bucket).decode()
