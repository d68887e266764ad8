"""Decodes JSON that comes from outside, and bounds on what it may hold.

Text may be nested more deeply than a decoder goes, hold numbers of any size,
and not be Unicode.
"""

from typing import Annotated

import msgspec

# All errors by which a decoder of ``msgspec`` refuses a text.
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeError, RecursionError)
_MAX_COUNT = 1 << 53
_MAX_REVISION = (1 << 63) - 1
_MAX_PORT = 65_535

# Versions, times in ms: they fit into 64 bits and a float.
Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_COUNT)]
# A number of any kind that is not negative.
Quantity = Annotated[float, msgspec.Meta(ge=0, le=_MAX_COUNT)]
# Versions, times in ms, or -1 for something that is not known.
CountOrUnknown = Annotated[int, msgspec.Meta(ge=-1, le=_MAX_COUNT)]
# Revisions of the object store, which hold its era in their high bits.
Revision = Annotated[int, msgspec.Meta(ge=0, le=_MAX_REVISION)]
# A port, or 0 for none.
PortOrNone = Annotated[int, msgspec.Meta(ge=0, le=_MAX_PORT)]
Name = Annotated[str, msgspec.Meta(max_length=256)]
