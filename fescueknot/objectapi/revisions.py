"""Revisions of a store that may come back from an older copy.

The store numbers its changes with a counter. When it comes back from a copy,
the counter goes back and its numbers are given out again, and the store names
a higher era. Here a revision holds both, the era in the high bits, so that
revisions of all eras have one order. A store that names no era is in era 0.
"""

COUNTER_BITS = 48
MAX_COUNTER = (1 << COUNTER_BITS) - 1
# A revision fits into 63 bits.
MAX_ERA = (1 << 15) - 1


def revision_of(era: int, counter: int) -> int:
    """Return the revision of a counter in an era."""
    return era << COUNTER_BITS | counter


def era_of(revision: int) -> int:
    """Return the era of a revision."""
    return revision >> COUNTER_BITS


def counter_of(revision: int) -> int:
    """Return the store's counter at a revision."""
    return revision & MAX_COUNTER


def first_of_era(revision: int) -> int:
    """Return the revision with which the era of a revision begins."""
    return revision - counter_of(revision)
