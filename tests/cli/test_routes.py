"""Subcommand ``routes``: its actions and its errors."""

import json

import pytest

from fescueknot.cli import main

_HOST = 'shop.example'


def _run(*args):
    return main.main(('fescueknot', 'routes', *args))


def _rule(prefix, kind='idempotent', service='maps', **action):
    fields = {'service': service, 'timeoutMs': 1200, 'attempts': 2, **action}
    return {
        'name': f'r-{prefix.strip("/")}',
        'routeType': kind,
        'targetLatencyMs': 500,
        'priority': 0,
        'match': {'pathPrefix': prefix},
        'action': fields,
    }


def _document(*rules, version=7):
    return {
        'version': f'{version:08x}',
        'listeners': [{'host': _HOST, 'routeRules': list(rules)}],
        'clusters': [{'name': 'maps'}, {'name': 'entries'}],
    }


_SUBMIT = _rule('/submit/', 'non_idempotent', 'entries')


@pytest.fixture
def write(tmp_path):
    """Return a function that writes a configuration and returns its path."""

    def write_configuration(*rules, name='routes.json', **fields):
        path = tmp_path / name
        path.write_text(json.dumps(_document(*rules, **fields), indent=1))
        return str(path)

    return write_configuration


class TestList:
    """Groups of routes, and whether their requests may be repeated."""

    def test_routes_handled_alike_share_a_line(self, write, capsys):
        path = write(*(_rule(f'/{index}/') for index in range(5)), _SUBMIT)
        assert _run('list', path) == 0
        lines = capsys.readouterr().out.splitlines()
        assert len(lines) == 4
        assert 'entries  must land once' in lines[2]
        assert 'maps     may be repeated' in lines[3]
        assert lines[3].endswith('/0/ /1/ /2/ and 2 more')

    @pytest.mark.parametrize(
        'args', [('--once',), ('--service=entries',), ('--host=x',)]
    )
    def test_filters_omit_other_routes(self, write, capsys, args):
        path = write(_rule('/a/'), _SUBMIT)
        assert _run('list', *args, path) == 0
        assert 'maps' not in capsys.readouterr().out

    def test_json_has_the_same_groups(self, write, capsys):
        assert _run('list', '--json', write(_SUBMIT)) == 0
        (group,) = json.loads(capsys.readouterr().out)
        assert group['handling'] == 'must land once'

    def test_shares_of_a_traffic_split_are_shown(self, write, capsys):
        split = [
            {'service': 'maps', 'weight': 9},
            {'service': 'entries', 'weight': 1},
        ]
        path = write(_rule('/a/', service=None, trafficSplit=split))
        assert _run('list', path) == 0
        assert 'maps 90%, entries 10%' in capsys.readouterr().out


class TestExplain:
    """Which route a request takes and what failures mean."""

    def test_longest_prefix_wins_and_statuses_are_explained(
        self, write, capsys
    ):
        path = write(_rule('/'), _SUBMIT)
        assert _run('explain', path, _HOST, '/submit/7') == 0
        output = capsys.readouterr().out
        assert 'goes before / ' in output
        assert 'class critical; must land once' in output
        assert '502: may have run' in output
        assert 'look into the books' in output

    def test_idempotent_route_may_be_sent_again(self, write, capsys):
        path = write(_rule('/a/'))
        assert _run('explain', path, _HOST, '/a/7') == 0
        assert 'sending it again does no harm' in capsys.readouterr().out

    @pytest.mark.parametrize(
        ('host', 'path', 'message'),
        [('x', '/a/', 'no host "x"'), (_HOST, '/b', 'callers get 404')],
    )
    def test_missing_route_is_an_error(
        self, write, capsys, host, path, message
    ):
        assert _run('explain', write(_rule('/a/')), host, path) == 1
        assert message in capsys.readouterr().err


class TestDiff:
    """Differences between two versions."""

    def test_each_change_is_printed_on_a_line(self, write, capsys):
        old = write(_rule('/a/'), _rule('/gone/'), name='old.json')
        new = write(
            _rule('/a/', timeoutMs=900), _SUBMIT, name='new.json', version=8
        )
        assert _run('diff', old, new) == 0
        output = capsys.readouterr().out
        assert 'version 7 to 8' in output
        assert f'{_HOST}/a/: time in s 1.2 before, 0.9 now' in output
        assert f'{_HOST}/gone/: gone' in output
        assert f'{_HOST}/submit/: new, goes to entries' in output


class TestCheck:
    """Routes that are likely to be mistakes."""

    def test_configuration_without_findings_passes(self, write, capsys):
        assert _run('check', write(_rule('/a/'), _SUBMIT)) == 0
        assert 'nothing odd' in capsys.readouterr().out

    @pytest.mark.parametrize(
        ('rules', 'message'),
        [
            ((_rule('/a/'), _rule('/a/')), 'stands twice'),
            ((_rule('/a/', service='x'),), 'no such service'),
            ((_rule('/a/', timeoutMs=100),), 'before its latency objective'),
            (
                (_rule('/'), _SUBMIT),
                'must land once, though / around it may be repeated',
            ),
            (
                (
                    _rule(
                        '/a/',
                        trafficSplit=[
                            {'service': 'maps', 'weight': 0},
                            {'service': 'entries', 'weight': 0},
                        ],
                    ),
                ),
                'add to nothing',
            ),
        ],
    )
    def test_findings_are_reported(self, write, capsys, rules, message):
        assert _run('check', write(*rules)) == 1
        assert message in capsys.readouterr().out

    def test_route_that_becomes_repeatable_is_reported(self, write, capsys):
        old = write(_SUBMIT, name='old.json')
        new = write(_rule('/submit/'), name='new.json')
        assert _run('check', f'--before={old}', new) == 1
        assert 'must land once before' in capsys.readouterr().out


class TestBadInput:
    """Configuration files that can't be read."""

    def test_syntax_error_is_reported_with_line_and_column(
        self, tmp_path, capsys
    ):
        path = tmp_path / 'bad.json'
        path.write_text('{"version": "07",\n "listeners": [}')
        assert _run('list', str(path)) == 2
        assert 'bad.json:2:16: ' in capsys.readouterr().err

    def test_field_of_wrong_type_is_named(self, tmp_path, capsys):
        path = tmp_path / 'bad.json'
        path.write_text('{"version": "07", "listeners": [{"host": 7}]}')
        assert _run('list', str(path)) == 2
        assert 'listeners' in capsys.readouterr().err

    def test_missing_file_is_bad_input(self, capsys):
        assert _run('list', 'no-such.json') == 2
        assert 'no-such.json' in capsys.readouterr().err
