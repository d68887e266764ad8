"""Subcommand ``explain-request``: output and exit codes for given logs."""

import json

import pytest

from fescueknot.cli import main


def _run(*args):
    return main.main(('fescueknot', 'explain-request', *args))


@pytest.fixture
def log(tmp_path):
    """Return the path of a log with one refused request."""
    path = tmp_path / 'node-a.log'
    line = {
        'time_s': 1.5,
        'node': 'a',
        'event': 'call.shed',
        'id': 'r',
        'status': 503,
        'route': 'browse',
    }
    path.write_text(f'not a decision\n{json.dumps(line)}\n')
    return str(path)


class TestExplainRequest:
    """Steps, deciding line and outcome of a request."""

    def test_text_ends_with_deciding_line_and_outcome(self, log, capsys):
        assert _run('r', log) == 0
        last = capsys.readouterr().out.splitlines()[-2:]
        assert last == [
            'decided by: a call.shed status=503 route=browse',
            'outcome: it has not run and will not',
        ]

    def test_json_has_steps_and_deciding_line(self, log, capsys):
        assert _run('--json', 'r', log) == 0
        document = json.loads(capsys.readouterr().out)
        assert document['decided_by']['node'] == 'a'
        assert len(document['steps']) == 1
        assert document['outcome'] == 'not_run'

    @pytest.mark.parametrize(
        ('gate_lines', 'hint'),
        [
            ([], 'look for log.dropped'),
            ([{'event': 'gate.sent', 'instance': 'i-7'}], 'books of i-7'),
        ],
    )
    def test_unknown_outcome_prints_where_to_look(
        self, gate_lines, hint, tmp_path, capsys
    ):
        path = tmp_path / 'nodes.log'
        head = {'time_s': 1.5, 'node': 'a', 'id': 'r'}
        end = {'event': 'call.ended', 'outcome': 'may have run', 'status': 504}
        lines = [json.dumps({**head, **line}) for line in (end, *gate_lines)]
        path.write_text('\n'.join(lines))
        assert _run('r', str(path)) == 0
        assert hint in capsys.readouterr().out.splitlines()[-1]

    def test_unknown_request_id_fails_with_hint(self, log, capsys):
        assert _run('unknown', log) == 1
        assert 'log.dropped' in capsys.readouterr().err

    def test_missing_log_file_is_bad_input(self, capsys):
        assert _run('r', 'no-such.log') == 2
        assert 'no-such.log' in capsys.readouterr().err
