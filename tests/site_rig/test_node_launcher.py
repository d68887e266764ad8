"""The script that runs a node's program with links."""

import json
import pathlib
import subprocess
import sys

import pytest

from tools.site_rig.link_hook import follow_links
from tools.site_rig.link_pages import LinkPage, write_page
from tools.site_rig.wall_clock import ClockFile

ROOT = pathlib.Path(__file__).parent.parent.parent

# Stands for an older state of the code, which has no such tools.
PROGRAM = """
import sys
before = sorted({'asyncio', 'msgspec', 'ctypes'} & set(sys.modules))
import json, os, signal
hup = signal.getsignal(signal.SIGHUP) is signal.SIG_DFL
import asyncio
async def run():
    return type(asyncio.get_running_loop()).__name__
print(json.dumps({
    'before': before,
    'hup': hup,
    'name': __name__,
    'path': sys.path[0],
    'loop': asyncio.run(run()),
    'cwd': os.getcwd(),
    'arguments': sys.argv[1:],
}))
"""


@pytest.fixture
def said(tmp_path):
    package = tmp_path / 'fescueknot' / 'platform'
    package.mkdir(parents=True)
    (package / 'main.py').write_text(PROGRAM, 'utf-8')
    (tmp_path / 'tools.py').write_text('', 'utf-8')
    write_page(tmp_path / 'page', LinkPage(ip='127.9.4.1'))
    clock = ClockFile(path=tmp_path / 'clock')
    process = subprocess.run(
        [
            sys.executable,
            '-m',
            'tools.site_rig.node_launcher',
            str(tmp_path),
            str(clock.path),
            str(tmp_path / 'page'),
        ],
        cwd=ROOT,
        capture_output=True,
        check=True,
    )
    return {**json.loads(process.stdout), 'folder': tmp_path}


class TestLauncher:
    """What the program finds."""

    # Guards against a start that takes longer until signals are handled.
    def test_before_its_first_line(self, said):
        assert said['before'] == []
        assert said['hup']

    # Guards against the rig's own state of the program.
    def test_program(self, said):
        assert said['name'] == '__main__'
        assert pathlib.Path(said['path']) == said['folder']
        assert pathlib.Path(said['cwd']) == said['folder']
        assert said['arguments'] == []

    # Guards against nodes without links.
    def test_loop(self, said):
        assert said['loop'] == 'LinkLoop'

    # Guards against nodes without links where asyncio is there already.
    def test_asyncio_is_there(self, tmp_path, monkeypatch):
        installed: list[str] = []
        monkeypatch.setattr(
            'tools.site_rig.link_loop.install', installed.append
        )

        follow_links(str(tmp_path / 'page'))

        assert installed == [str(tmp_path / 'page')]
