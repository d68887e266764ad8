"""Numbers in headers, which come from others and may be odd."""

# No time or length that is used needs more.
_MAX_DIGITS = 15


def parse_count(text: str | None) -> int | None:
    """Return a whole number of at most 15 ASCII digits, else ``None``.

    ``str.isdigit`` is true for superscripts, which ``int`` refuses.
    """
    if text is None or len(text) > _MAX_DIGITS:
        return None
    is_number = text.isascii() and text.isdecimal()
    return int(text) if is_number else None
