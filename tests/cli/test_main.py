"""The command line: help, usage errors, exit codes."""

import json
import pathlib
import subprocess
import sys

import pytest

from fescueknot.cli import main
from fescueknot.cli._subcommands import SUBCOMMANDS
from tests.cli.fake_ops import fake_ops_server

_TRACE = '4bf92f3577b34da6a3ce929d0e0e4736'


def _run(*args: str) -> int:
    return main.main(('fescueknot', *args))


class TestProgram:
    """The program run as a separate process."""

    @pytest.mark.parametrize(
        ('args', 'code'),
        [(('--help',), 0), (('status', '--ops', '127.0.0.1:1'), 1), ((), 2)],
    )
    def test_exit_code(self, args: tuple[str, ...], code: int) -> None:
        program = (sys.executable, '-m', 'fescueknot.cli.main', *args)
        completed = subprocess.run(program, capture_output=True, check=False)
        assert completed.returncode == code
        assert b'Traceback' not in completed.stderr


class TestHelp:
    """Every subcommand has a help text."""

    def test_overview_lists_all_subcommands(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert _run('--help') == 0
        output = capsys.readouterr().out
        assert all(name in output for name in SUBCOMMANDS)

    @pytest.mark.parametrize('name', SUBCOMMANDS)
    def test_help_of_subcommand(
        self, name: str, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert _run(name, '--help') == 0
        output = capsys.readouterr().out
        assert output.startswith(f'usage: fescueknot {name} ')
        assert 'exit codes: 0 done' in output
        assert main.load(name).description


class TestBadUsage:
    """Usage errors give exit code 2 and a message on standard error."""

    @pytest.mark.parametrize(
        ('args', 'message'),
        [
            ((), 'no subcommand given'),
            (('statsu',), 'no subcommand "statsu"'),
            (('status', '--nope'), "Unknown command line flag 'nope'"),
            (('status',), 'say which node: --ops'),
            (('status', '--ops', 'localhost:1'), 'found "localhost:1"'),
            (('status', '--ops', '127.0.0.1:x'), 'expected a port'),
            (('status', 'extra'), 'status takes: no arguments; found 1'),
            (('trace', 'ABC', '--ops', '127.0.0.1:1'), '32 lower-case hex'),
            (('drain', '--wait_s', 'long'), 'wait_s'),
            (('bench',), 'no measurement ""; known: '),
            (('bench', 'nope'), 'no measurement "nope"; known: '),
            (('node',), 'say which settings: --settings FILE'),
            (('node', '--settings', 'none.json'), 'none.json: the file: can'),
            (('settings-check', 'none.json'), 'none.json: the file: can'),
        ],
    )
    def test_message_and_exit_code(
        self,
        args: tuple[str, ...],
        message: str,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        assert _run(*args) == 2
        output = capsys.readouterr()
        assert message in output.err
        assert not output.out


class TestOps:
    """Subcommands that query a node."""

    def test_json_is_the_unchanged_document(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        responses = {'/status': (200, b'{"place": {"region": "costa"}}')}
        with fake_ops_server(responses) as (address, _requests):
            assert _run('status', '--json', '--ops', address) == 0
            document = json.loads(capsys.readouterr().out)
            assert _run('status', '--ops', address) == 0
        assert document == {'place': {'region': 'costa'}}
        assert capsys.readouterr().out == 'place.region: costa\n'

    def test_targets_are_printed_as_table(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        rows = [{'name': 'a', 'weight': 0.5}, {'name': 'long', 'slots': 5}]
        body = json.dumps({'targets': rows}).encode()
        with fake_ops_server({'/targets': (200, body)}) as (address, _requests):
            assert _run('targets', '--ops', address) == 0
        lines = capsys.readouterr().out.splitlines()
        assert lines == ['name  weight  slots', 'a     0.5', 'long          5']

    def test_error_status_gives_exit_code_one(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        responses = {'/status': (503, b'{"detail": "starting"}')}
        with fake_ops_server(responses) as (address, _requests):
            assert _run('status', '--ops', address) == 1
        assert 'answered 503 to /status: starting' in capsys.readouterr().err

    def test_unreachable_node_gives_exit_code_one(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        with fake_ops_server({}) as (address, requests):
            assert not requests
        assert _run('status', '--ops', address) == 1
        assert 'Connection refused; does the node' in capsys.readouterr().err

    def test_drain_waits_until_node_stops_responding(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        responses = {
            '/drain': (200, b'{}'),
            '/status': (200, b'{"in_progress": 0}'),
        }
        with fake_ops_server(responses) as (address, requests):
            assert _run('drain', '--ops', address, '--wait_s', '0') == 1
            responses.pop('/status')
            assert _run('drain', '--ops', address) == 0
        assert requests[0] == 'POST /drain'
        assert capsys.readouterr().out.endswith('drained\n')

    def test_trace_joins_spans_of_several_nodes(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        path = f'/trace/{_TRACE}'
        with (
            fake_ops_server({path: (200, _spans('a', ''))}) as (
                first,
                _requests,
            ),
            fake_ops_server({path: (200, _spans('b', 'a'))}) as (
                second,
                _second_requests,
            ),
        ):
            ops = f'{first},{second}'
            assert _run('trace', _TRACE, '--ops', ops) == 0
        lines = capsys.readouterr().out.splitlines()
        assert [line.index('entry') for line in lines] == [0, 2]

    def test_explain_prints_name_of_importance_class(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        path = '/explain?service=trust&method=POST&path=%2Fpostings%2F7'
        responses = {path: (200, b'{"importance": 0, "rule": "r"}')}
        with fake_ops_server(responses) as (address, _requests):
            args = ('trust', 'post', '/postings/7', '--ops', address)
            assert _run('explain', *args) == 0
        assert capsys.readouterr().out == 'importance: critical\nrule: r\n'


class TestSettingsCheck:
    """Errors in a settings file give exit code 2."""

    def test_every_error_is_reported(
        self, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        file = tmp_path / 'node.json'
        file.write_text('{"instance": 5}', encoding='utf-8')
        assert _run('settings-check', str(file)) == 2
        output = capsys.readouterr().err
        assert f'{file}: instance: expected str, got int; found 5' in output
        assert f'{file}: target: missing' in output


def _spans(span_id: str, parent: str) -> bytes:
    span = {
        'traceId': _TRACE,
        'spanId': span_id,
        'parentSpanId': parent,
        'name': 'entry',
        'service': 'ledger',
        'instance': 'ledger-1',
        'importance': 0,
        'decision': 'answered',
        'startWallS': 1,
        'durationMs': 2,
        'status': 200,
    }
    return json.dumps([span]).encode()
