"""The script that runs a node's program with links."""

import json
import os
import pathlib
import subprocess
import sys

import pytest

from tools.site_rig import node_process
from tools.site_rig.link_pages import PAGE_VARIABLE, LinkPage, write_page

# Stands for an older state of the code, which has no such tools.
PROGRAM = """
import sys
before = sorted({'asyncio', 'msgspec', 'tools'} & set(sys.modules))
import json, signal
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
    'rest': [each for each in sys.path if 'site_rig' in each],
}))
"""


@pytest.fixture
def said(tmp_path):
    package = tmp_path / 'fescueknot' / 'platform'
    package.mkdir(parents=True)
    (package / 'main.py').write_text(PROGRAM, 'utf-8')
    (tmp_path / 'tools.py').write_text('', 'utf-8')
    write_page(tmp_path / 'page', LinkPage(ip='127.9.4.1'))
    process = subprocess.run(
        [sys.executable, node_process.LAUNCHER],
        cwd=tmp_path,
        env={**os.environ, PAGE_VARIABLE: str(tmp_path / 'page')},
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
        assert said['rest'] == []

    # Guards against nodes without links.
    def test_loop(self, said):
        assert said['loop'] == 'LinkLoop'
