"""The command line: help, usage errors, exit codes."""

import json
import pathlib
import subprocess
import sys

import pytest

from fescueknot.cli import main
from fescueknot.cli._subcommands import SUBCOMMANDS
from tests.cli.fake_ops import serving

_TRACE = '4bf92f3577b34da6a3ce929d0e0e4736'


def _run(*words: str) -> int:
    return main.main(('fescueknot', *words))


class TestProgram:
    """The program as a process of its own."""

    @pytest.mark.parametrize(
        ('words', 'code'),
        [(('--help',), 0), (('status', '--ops', '127.0.0.1:1'), 1), ((), 2)],
    )
    def test_exit_code(self, words: tuple[str, ...], code: int) -> None:
        program = (sys.executable, '-m', 'fescueknot.cli.main', *words)
        ended = subprocess.run(program, capture_output=True, check=False)
        assert ended.returncode == code
        assert b'Traceback' not in ended.stderr


class TestHelp:
    """Every subcommand says what it does."""

    def test_overview_lists_all(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert _run('--help') == 0
        shown = capsys.readouterr().out
        assert all(name in shown for name in SUBCOMMANDS)

    @pytest.mark.parametrize('name', SUBCOMMANDS)
    def test_subcommand(
        self, name: str, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert _run(name, '--help') == 0
        shown = capsys.readouterr().out
        assert shown.startswith(f'usage: fescueknot {name} ')
        assert 'exit codes: 0 done' in shown
        assert main.load(name).description


class TestBadUsage:
    """A slip gets code 2 and a sentence on the error stream."""

    @pytest.mark.parametrize(
        ('words', 'sentence'),
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
    def test_sentence(
        self,
        words: tuple[str, ...],
        sentence: str,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        assert _run(*words) == 2
        shown = capsys.readouterr()
        assert sentence in shown.err
        assert not shown.out


class TestOps:
    """Subcommands that ask a node."""

    def test_json_is_the_document_itself(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        answers = {'/status': (200, b'{"place": {"region": "costa"}}')}
        with serving(answers) as (address, _seen):
            assert _run('status', '--json', '--ops', address) == 0
            document = json.loads(capsys.readouterr().out)
            assert _run('status', '--ops', address) == 0
        assert document == {'place': {'region': 'costa'}}
        assert capsys.readouterr().out == 'place.region: costa\n'

    def test_targets_are_a_table(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        rows = [{'name': 'a', 'weight': 0.5}, {'name': 'long', 'slots': 5}]
        body = json.dumps({'targets': rows}).encode()
        with serving({'/targets': (200, body)}) as (address, _seen):
            assert _run('targets', '--ops', address) == 0
        lines = capsys.readouterr().out.splitlines()
        assert lines == ['name  weight  slots', 'a     0.5', 'long          5']

    def test_refusal_is_code_one(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        answers = {'/status': (503, b'{"detail": "starting"}')}
        with serving(answers) as (address, _seen):
            assert _run('status', '--ops', address) == 1
        assert 'answered 503 to /status: starting' in capsys.readouterr().err

    def test_no_node_is_code_one(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        with serving({}) as (address, seen):
            assert not seen
        assert _run('status', '--ops', address) == 1
        assert 'Connection refused; does the node' in capsys.readouterr().err

    def test_drain_waits_for_the_end_of_the_node(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        answers = {
            '/drain': (200, b'{}'),
            '/status': (200, b'{"in_progress": 0}'),
        }
        with serving(answers) as (address, seen):
            assert _run('drain', '--ops', address, '--wait_s', '0') == 1
            answers.pop('/status')
            assert _run('drain', '--ops', address) == 0
        assert seen[0] == 'POST /drain'
        assert capsys.readouterr().out.endswith('drained\n')

    def test_trace_joins_the_spans_of_several_nodes(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        path = f'/trace/{_TRACE}'
        with (
            serving({path: (200, _spans('a', ''))}) as (first, _seen),
            serving({path: (200, _spans('b', 'a'))}) as (second, _other),
        ):
            ops = f'{first},{second}'
            assert _run('trace', _TRACE, '--ops', ops) == 0
        lines = capsys.readouterr().out.splitlines()
        assert [line.index('entry') for line in lines] == [0, 2]

    def test_explain_names_the_class(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        path = '/explain?service=trust&method=POST&path=%2Fpostings%2F7'
        answers = {path: (200, b'{"importance": 0, "rule": "r"}')}
        with serving(answers) as (address, _seen):
            words = ('trust', 'post', '/postings/7', '--ops', address)
            assert _run('explain', *words) == 0
        assert capsys.readouterr().out == 'importance: critical\nrule: r\n'


class TestSettingsCheck:
    """Faults of a settings file are code 2."""

    def test_every_fault_is_named(
        self, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        file = tmp_path / 'node.json'
        file.write_text('{"instance": 5}', encoding='utf-8')
        assert _run('settings-check', str(file)) == 2
        shown = capsys.readouterr().err
        assert f'{file}: instance: expected str, got int; found 5' in shown
        assert f'{file}: target: missing' in shown


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
