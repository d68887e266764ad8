"""Rendering of a trace as an indented tree, one line per span."""

from collections.abc import Iterable, Iterator

from fescueknot.telemetry.spans import Span

_INDENT = '  '


def render_tree(spans: Iterable[Span]) -> str:
    """Return the tree as text; a span whose parent is missing is a root."""
    by_id = {span.span_id: span for span in spans}
    children: dict[str, list[Span]] = {}
    for span in sorted(by_id.values(), key=_start):
        has_parent = span.parent_span_id in by_id
        parent = span.parent_span_id if has_parent else ''
        children.setdefault(parent, []).append(span)
    return '\n'.join(_render_lines(children))


def _render_lines(children: dict[str, list[Span]]) -> Iterator[str]:
    stack = [(0, span) for span in reversed(children.get('', []))]
    while stack:
        depth, span = stack.pop()
        yield f'{_INDENT * depth}{_render_span(span)}'
        child_spans = children.get(span.span_id, [])
        stack.extend((depth + 1, child) for child in reversed(child_spans))


def _render_span(span: Span) -> str:
    columns = (
        f'{span.name} {span.service}/{span.instance}',
        f'{span.decision} {span.status}',
        f'attempt {span.attempt}',
        f'queue {span.queue_ms:.1f} ms',
        f'total {span.duration_ms:.1f} ms',
        f'class {span.importance.name.lower()}',
        f'rule "{span.rule}" ({span.requested_by or "nobody"})',
    )
    return ' | '.join(columns)


def _start(span: Span) -> float:
    return span.start_wall_s
