"""Messages about requests that were at a target when it crashed.

Times are sent as ages, so that the clocks of hosts need not agree.
"""

import msgspec

from fescueknot.decoding import Count, CountOrUnknown, Name

# Stands in messages for something that has not happened.
NEVER_AGE_MS = -1


class Crash(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Crash of one start of a target, ``age_ms`` ago."""

    instance: Name
    started_ms: Count
    age_ms: Count


class SuspectRecord(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What is known of one fingerprint.

    ``crashes`` are those of targets that were running such a request.
    ``cleared_age_ms`` is how long ago a target has answered one without a
    crash, -1 if none has.
    """

    fingerprint: Name
    crashes: tuple[Crash, ...] = ()
    cleared_age_ms: CountOrUnknown = NEVER_AGE_MS


class CrashEvidenceMessage(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=True
):
    """Base of the messages, each in one datagram.

    ``service`` is that of the sender's target. ``digest`` is a checksum of all
    its records, ``held_digest`` of those of requests that are held back.
    """

    service: Name
    digest: int
    held_digest: int
    records: tuple[SuspectRecord, ...] = ()


class CrashEvidenceRequest(
    CrashEvidenceMessage, frozen=True, kw_only=True, tag='sq'
):
    """Requests a reply if the receiver's records differ."""


class CrashEvidenceReply(
    CrashEvidenceMessage, frozen=True, kw_only=True, tag='sa'
):
    """Records of a node that differ from the requester's."""


class CrashEvidencePush(
    CrashEvidenceMessage, frozen=True, kw_only=True, tag='sp'
):
    """Records that may be new to the receiver."""


AnyCrashEvidence = CrashEvidenceRequest | CrashEvidenceReply | CrashEvidencePush
