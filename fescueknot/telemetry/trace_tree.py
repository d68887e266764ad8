"""A trace as indented text, one line for each span."""

from collections.abc import Iterable, Iterator

from fescueknot.telemetry.spans import Span

_INDENT = '  '


def render_tree(spans: Iterable[Span]) -> str:
    """Return the tree of ``spans``; a span without its parent is a root."""
    by_id = {span.span_id: span for span in spans}
    children: dict[str, list[Span]] = {}
    for span in sorted(by_id.values(), key=_start):
        known = span.parent_span_id in by_id
        parent = span.parent_span_id if known else ''
        children.setdefault(parent, []).append(span)
    return '\n'.join(_lines(children))


def _lines(children: dict[str, list[Span]]) -> Iterator[str]:
    stack = [(0, span) for span in reversed(children.get('', []))]
    while stack:
        depth, span = stack.pop()
        yield f'{_INDENT * depth}{_line(span)}'
        below = children.get(span.span_id, [])
        stack.extend((depth + 1, one) for one in reversed(below))


def _line(span: Span) -> str:
    parts = (
        f'{span.name} {span.service}/{span.instance}',
        f'{span.decision} {span.status}',
        f'attempt {span.attempt}',
        f'queue {span.queue_ms:.1f} ms',
        f'total {span.duration_ms:.1f} ms',
        f'class {span.importance.name.lower()}',
        f'rule "{span.rule}" ({span.requested_by or "nobody"})',
    )
    return ' | '.join(parts)


def _start(span: Span) -> float:
    return span.start_wall_s
