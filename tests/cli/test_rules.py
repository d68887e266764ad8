"""Subcommand ``rules``: its actions, against a stand-in object API."""

import json
import pathlib
from collections.abc import Iterator

import pytest

from fescueknot.cli import main
from fescueknot.objectapi.standin import StandInServer, StandInSettings
from tests.cli.fake_ops import fake_ops_server

_GOOD = 'ledger GET /matters/** class=high retry=idempotent  # Jussi\n'
_MORE = f'{_GOOD}trust POST /postings/** class=critical retry=never  # Eero\n'
_BAD = 'ledger GET /matters/** class=high\nledger FLY /x class=top  # A\n'


def _run(*args: str) -> int:
    return main.main(('fescueknot', 'rules', *args))


@pytest.fixture
def platform() -> Iterator[str]:
    server = StandInServer(settings=StandInSettings(threads=4))
    server.start()
    yield f'--platform={server.address}'
    server.stop()


@pytest.fixture
def file(tmp_path: pathlib.Path) -> pathlib.Path:
    path = tmp_path / 'all.rules'
    path.write_text(_GOOD, encoding='utf-8')
    return path


class TestCheck:
    """Checking a rules file, without a node or the object API."""

    def test_every_problem_is_reported(
        self, file: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert _run('check', str(file)) == 0
        file.write_text(_BAD, encoding='utf-8')
        assert _run('check', str(file)) == 2
        message = capsys.readouterr().err
        assert f'{file}:1:' in message
        assert f'{file}:2:8' in message
        assert 'fix:' in message

    def test_byte_order_mark_is_ignored(self, file: pathlib.Path) -> None:
        file.write_text(_GOOD, encoding='utf-8-sig')
        assert _run('check', str(file)) == 0

    def test_unknown_action_is_bad_input(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert _run('aply') == 2
        assert 'no action "aply"; known: check' in capsys.readouterr().err


class TestApply:
    """A change is applied only if its base version is still current."""

    def test_edit_of_outdated_version_is_refused(
        self,
        platform: str,
        file: pathlib.Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        assert _run('apply', str(file), platform, '--author=Aino') == 0
        file.write_text(_MORE, encoding='utf-8')
        assert _run('apply', str(file), platform) == 1
        message = capsys.readouterr().err
        assert 'your edit is based on 0; changed since by Aino' in message
        assert _run('apply', str(file), platform, '--base=1') == 0
        assert 'accepted as version 2' in capsys.readouterr().out

    def test_invalid_file_changes_nothing(
        self,
        platform: str,
        file: pathlib.Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        _run('apply', str(file), platform)
        file.write_text(_BAD, encoding='utf-8')
        assert _run('apply', str(file), platform, '--base=1') == 2
        capsys.readouterr()
        assert _run('show', platform) == 0
        assert capsys.readouterr().out == f'# based on version 1\n{_GOOD}'

    def test_shown_text_carries_its_base_version(
        self,
        platform: str,
        file: pathlib.Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        _run('apply', str(file), platform)
        capsys.readouterr()
        _run('show', platform)
        output = capsys.readouterr().out
        file.write_text(output.replace(_GOOD, _MORE), encoding='utf-8')
        assert _run('apply', str(file), platform) == 0
        capsys.readouterr()
        file.write_text(output, encoding='utf-8')
        assert _run('apply', str(file), platform) == 1
        assert 'version 2' in capsys.readouterr().err

    def test_older_text_can_be_applied_again(
        self,
        platform: str,
        file: pathlib.Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        _run('apply', str(file), platform)
        file.write_text(_MORE, encoding='utf-8')
        _run('apply', str(file), platform, '--base=1')
        capsys.readouterr()
        assert _run('show', platform, '--version=1') == 0
        older = capsys.readouterr().out
        assert older == f'# based on version 2\n{_GOOD}'
        file.write_text(older, encoding='utf-8')
        assert _run('apply', str(file), platform) == 0
        assert _run('show', platform, '--version=9') == 1

    def test_line_numbers_count_the_base_version_line(
        self,
        platform: str,
        file: pathlib.Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        text = '# based on version 0\na GET /x class=low\n'
        file.write_text(text, encoding='utf-8')
        assert _run('apply', str(file), platform) == 2
        assert f'{file}:2:19' in capsys.readouterr().err

    def test_diff_and_history_show_changes(
        self,
        platform: str,
        file: pathlib.Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        _run('apply', str(file), platform, '--author=Aino')
        file.write_text(_MORE, encoding='utf-8')
        capsys.readouterr()
        assert _run('diff', str(file), platform) == 0
        assert '+trust POST' in capsys.readouterr().out
        assert _run('history', platform, '--json') == 0
        row = json.loads(capsys.readouterr().out)[0]
        assert (row['author'], row['added']) == ('Aino', 1)

    def test_unreachable_object_api_gives_exit_code_one(
        self, file: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert _run('apply', str(file), '--platform=127.0.0.1:1') == 1
        assert 'object API is down: 127.0.0.1:1' in capsys.readouterr().err


class TestWait:
    """All nodes are polled; they are found through one node."""

    @pytest.mark.parametrize(
        ('second_version', 'code', 'message'),
        [
            (3, 0, 'version 3 is in force on 2 of 2 nodes'),
            (2, 1, 'in force on 1 of 2 nodes; not yet on 127.0.0.1:'),
        ],
    )
    def test_nodes_with_the_version_are_counted(
        self,
        second_version: int,
        code: int,
        message: str,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        second_responses = {'/status': _status(second_version)}
        with fake_ops_server(second_responses) as (second_address, _requests):
            serving_row = {'state': 'serving', 'ops': second_address}
            lost_row = {'state': 'lost', 'ops': '127.0.0.1:1'}
            targets = json.dumps({'targets': [serving_row, lost_row]}).encode()
            responses = {'/status': _status(3), '/targets': (200, targets)}
            with fake_ops_server(responses) as (address, _first_requests):
                wait = ('wait', '3', f'--ops={address}', '--wait_s=0')
                assert _run(*wait) == code
        output = capsys.readouterr()
        assert message in f'{output.out}{output.err}'


def _status(version: int) -> tuple[int, bytes]:
    return 200, json.dumps({'rules_version': version}).encode()
