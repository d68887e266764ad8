"""Splits a line of a rules file into words and its comment.

``shlex`` splits the words, so quotes and backslashes work as in a shell. A
comment starts at a word that begins with an unquoted ``#``. Nearly all lines
have no quotes and backslashes; these are split at white space, which gives the
same words and is several times as fast.
"""

import io
import re
import shlex

import msgspec

from fescueknot.rules.errors import BadField

_COMMENT_START = '#'
_BLANK_CHARACTERS = ' \t\r\n'
_BLANKS = r'[ \t\r\n]*+'
_PLAIN_WORD = r'[^ \t\r\n#\'"\\][^ \t\r\n\'"\\]*+'
_PLAIN_LINE = re.compile(
    f'((?:{_BLANKS}{_PLAIN_WORD})*+){_BLANKS}(#.*)?', re.DOTALL
)
_WORD = re.compile(r'[^ \t\r\n]+')


class Token(msgspec.Struct, frozen=True, kw_only=True):
    """A word and the column where it starts, counted from 1."""

    text: str
    column: int


class TokenLine(msgspec.Struct, frozen=True, kw_only=True):
    """The words of a line and the text of its comment."""

    tokens: tuple[Token, ...]
    comment: str = ''


class UnclosedQuote(BadField):
    """A word starting at ``column`` has an unclosed quote or backslash."""

    def __init__(self, *, column: int) -> None:
        super().__init__(
            'a quote or backslash is not closed',
            fix='close the quote, or remove it',
        )
        self.column = column


def split_line(line: str) -> TokenLine:
    """Split a line into words and comment; raise ``UnclosedQuote``."""
    plain = _PLAIN_LINE.fullmatch(line)
    if plain is None:
        return split_quoted_line(line)
    words, comment = plain.groups(default='')
    tokens = tuple(
        Token(text=word.group(), column=word.start() + 1)
        for word in _WORD.finditer(words)
    )
    return TokenLine(tokens=tokens, comment=_comment_text(comment))


def split_quoted_line(line: str) -> TokenLine:
    """Split a line with ``shlex``; raise ``UnclosedQuote``."""
    source = io.StringIO(line)
    lexer = shlex.shlex(source, posix=True)
    lexer.whitespace_split = True
    lexer.commenters = ''
    tokens = []
    while True:
        start = _skip_blanks(line, source.tell())
        if line.startswith(_COMMENT_START, start):
            comment = _comment_text(line[start:])
            return TokenLine(tokens=tuple(tokens), comment=comment)
        try:
            word = lexer.get_token()
        except ValueError:
            raise UnclosedQuote(column=start + 1) from None
        if word is None:
            return TokenLine(tokens=tuple(tokens))
        tokens.append(Token(text=word, column=start + 1))


def _comment_text(comment: str) -> str:
    return comment.lstrip(_COMMENT_START).strip()


def _skip_blanks(line: str, start: int) -> int:
    rest = line[start:]
    return start + len(rest) - len(rest.lstrip(_BLANK_CHARACTERS))
