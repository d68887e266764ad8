"""The fast split of plain lines gives the same words as ``shlex``."""

from hypothesis import given, settings, strategies

from fescueknot.rules.tokens import Token, split_line, split_quoted_line

_PLAIN_LINES = strategies.text(alphabet='ab#/*=é \t\xa0\x0b', max_size=30)


class TestSplitLine:
    """Words, their columns, and the comment."""

    @settings(derandomize=True, deadline=None)
    @given(line=_PLAIN_LINES)
    def test_plain_lines_split_as_by_shlex(self, line: str) -> None:
        assert split_line(line) == split_quoted_line(line)

    def test_quotes_and_comment(self) -> None:
        words = split_line('a  "b #c" d#e # who\'s "this"')
        assert words.tokens == (
            Token(text='a', column=1),
            Token(text='b #c', column=4),
            Token(text='d#e', column=11),
        )
        assert words.comment == 'who\'s "this"'
