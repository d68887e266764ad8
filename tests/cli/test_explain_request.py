"""``explain-request``: logs in, a story or a reason why there is none out."""

import json

import pytest

from fescueknot.cli import main


def _run(*words):
    return main.main(('fescueknot', 'explain-request', *words))


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
    """The subcommand."""

    def test_text_ends_with_the_deciding_line(self, log, capsys):
        assert _run('r', log) == 0
        last = capsys.readouterr().out.splitlines()[-1]
        assert last == 'decided by: a call.shed status=503 route=browse'

    def test_json_has_steps_and_the_deciding_line(self, log, capsys):
        assert _run('--json', 'r', log) == 0
        document = json.loads(capsys.readouterr().out)
        assert document['decided_by']['node'] == 'a'
        assert len(document['steps']) == 1

    def test_an_unknown_id_fails_with_a_hint(self, log, capsys):
        assert _run('unknown', log) == 1
        assert 'log.dropped' in capsys.readouterr().err

    def test_a_log_that_is_not_there_is_bad_input(self, capsys):
        assert _run('r', 'no-such.log') == 2
        assert 'no-such.log' in capsys.readouterr().err
