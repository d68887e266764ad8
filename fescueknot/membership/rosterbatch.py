"""Planning of roster writes: which of the wanted rosters to write.

A wanted roster is written if its version is one above the stored version.
The write is conditional on the version of the object, so that no change is
lost. If another service of the same bucket changed in between, the write is
retried.
"""

import msgspec

from fescueknot.membership.rosters import RosterBucket
from fescueknot.roster import Roster


class RosterWriteResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a write; ``roster`` is the roster that the store holds now."""

    roster: Roster
    is_written: bool


class RosterBatch(msgspec.Struct, frozen=True, kw_only=True):
    """Plan for wanted rosters, given the stored bucket.

    ``results`` holds, by service, the results of rosters that need no write;
    ``bucket`` is the bucket to write, ``None`` if no roster needs a write.
    """

    results: dict[str, RosterWriteResult]
    bucket: RosterBucket | None


def plan_batch(stored: RosterBucket, wanted: dict[str, Roster]) -> RosterBatch:
    """Compare wanted rosters with the stored ones.

    A wanted roster that the store already holds was written by an earlier
    attempt whose answer was lost.
    """
    results = {}
    bucket = stored
    for service, roster in wanted.items():
        present = stored.find(service)
        if present.version == roster.version - 1:
            bucket = bucket.with_roster(roster)
        else:
            results[service] = RosterWriteResult(
                roster=present, is_written=present == roster
            )
    return RosterBatch(
        results=results, bucket=None if bucket is stored else bucket
    )


def confirmed_results(
    written: RosterBucket, wanted: dict[str, Roster]
) -> dict[str, RosterWriteResult]:
    """Return the results of the wanted rosters contained in ``written``."""
    return {
        service: RosterWriteResult(roster=roster, is_written=True)
        for service, roster in wanted.items()
        if written.find(service) == roster
    }
