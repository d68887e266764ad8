"""Cuts JSON that is nested too deeply, without recursion.

One object in a listing that no decoder can read must not hide the others.
"""

import types

import msgspec

from fescueknot.errors import FescueknotError
from fescueknot.httpio.messages import Body

# Configurations and entries are nested less deeply, inside their listing.
MAX_DEPTH = 40
_CHANGE_BY_EVENT = types.MappingProxyType(
    {
        'start_map': 1,
        'start_array': 1,
        'end_map': -1,
        'end_array': -1,
    }
)
_ENCODER = msgspec.json.Encoder(decimal_format='number')


class UnreadableTextError(FescueknotError):
    """The text is not JSON."""


def cut_deep_parts(text: Body) -> bytes:
    """Return the text with parts below :data:`MAX_DEPTH` replaced by null.

    Raises :class:`UnreadableTextError`.
    """
    # Takes memory and is hardly ever needed.
    import ijson
    from ijson.common import ObjectBuilder

    builder = ObjectBuilder()
    depth = 0
    try:
        for event, scalar in ijson.basic_parse(bytes(text)):
            change = _CHANGE_BY_EVENT.get(event, 0)
            depth += max(change, 0)
            if depth <= MAX_DEPTH:
                builder.event(event, scalar)
            elif depth == MAX_DEPTH + 1 and change > 0:
                builder.event('null', None)
            depth += min(change, 0)
    except (ijson.JSONError, UnicodeError) as error:
        raise UnreadableTextError(str(error)) from error
    return _ENCODER.encode(builder.value)
