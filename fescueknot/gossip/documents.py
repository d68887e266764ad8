"""Documents of the platform's store, as nodes replicate them.

The store numbers all changes with one sequence of revisions; after it has come
back from an older copy, the revisions of its new era come after all earlier
ones. A node stores the latest version of each document, and the revision up to
which it has received all changes.
"""

import msgspec

from fescueknot.decoding import Revision


class Document(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One object of the store; ``content`` is ``None`` if it was deleted.

    ``created`` is the revision at which it was created, 0 if unknown.
    """

    key: str
    revision: Revision
    content: str | None = None
    created: Revision = 0


class Transfer(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Documents whose latest revision lies in ``(after, upto]``.

    ``goal`` is the revision at which the sender's copy is a complete state of
    the store; a receiver has that state once it has all documents up to
    ``goal``. ``is_whole`` marks a copy that starts at 0 and is complete:
    documents that are not in it don't exist. ``floor`` is the revision up to
    which the sender has removed tombstones; a receiver below it can only be
    sent a whole copy, since it would miss deletions otherwise.
    """

    after: Revision
    upto: Revision
    goal: Revision
    documents: tuple[Document, ...] = ()
    is_whole: bool = False
    floor: Revision = 0
