"""Sample rules logs for tests."""

from fescueknot.rules.edit import Edit, build_entry
from fescueknot.rules.log_entry import Head, LogEntry


def rule_line(number: int) -> str:
    return f's{number % 5} GET /x/{number} class=low # Person {number}'


def text_at(version: int) -> str:
    """Return a text that differs between versions in several lines."""
    kept_lines = [rule_line(number) for number in range(version) if number % 3]
    return '\n'.join([*kept_lines, f'z GET /v/{version} class=low # Version'])


def head_at(version: int) -> Head:
    return log_of(version)[1][version]


def log_of(length: int) -> tuple[list[LogEntry], list[Head]]:
    """Return ``length`` entries, and the heads of versions 0 to ``length``."""
    entries: list[LogEntry] = []
    heads = [Head()]
    for version in range(1, length + 1):
        edit = Edit(
            text=text_at(version),
            file='f.rules',
            author='Marta',
            base_version=version - 1,
        )
        entry = build_entry(
            heads[-1], edit, change_id=f'id-{version}', wall_time_s=version
        )
        entries.append(entry)
        heads.append(heads[-1].after(entry))
    return entries, heads
