"""Builds ``dist/fescueknot``: the program and its libraries in one file.

The libraries come from the current environment, which the lock file set up,
so that the build asks no registry. At its first start the file unpacks itself
into ``/tmp/fescueknot`` (or ``SHIV_ROOT``), because a C extension can't be
loaded from within an archive.
"""

import pathlib
import shutil
import subprocess
import sys
from importlib import metadata

_ROOT = pathlib.Path(__file__).resolve().parent.parent
_STAGE = _ROOT / 'build/site'
_OUTPUT = _ROOT / 'dist/fescueknot'
_CACHE = '/tmp/fescueknot'  # noqa: S108
_LIBRARIES = (
    'absl-py',
    'hdrhistogram',
    'httptools',
    'msgspec',
    'prometheus_client',
    'python-json-logger',
    'waitress',
)
_SKIPPED_PARTS = frozenset(('..', '__pycache__', 'RECORD', 'INSTALLER'))


def stage() -> None:
    """Copy the package and its libraries into an empty folder."""
    shutil.rmtree(_STAGE, ignore_errors=True)
    shutil.copytree(
        _ROOT / 'fescueknot',
        _STAGE / 'fescueknot',
        ignore=shutil.ignore_patterns('__pycache__'),
    )
    for library in _LIBRARIES:
        _stage_library(library)


def pack() -> None:
    """Write the executable file."""
    _OUTPUT.parent.mkdir(exist_ok=True)
    command = (
        sys.executable,
        '-m',
        'shiv',
        '--site-packages',
        str(_STAGE),
        '--entry-point',
        'fescueknot.cli.main:run',
        '--python',
        '/usr/bin/env python3.11',
        '--root',
        _CACHE,
        '--compressed',
        '--reproducible',
        '--output-file',
        str(_OUTPUT),
    )
    subprocess.run(command, check=True)


def _stage_library(library: str) -> None:
    for file in metadata.files(library) or ():
        if _SKIPPED_PARTS.isdisjoint(file.parts):
            copied = _STAGE / file
            copied.parent.mkdir(parents=True, exist_ok=True)
            shutil.copyfile(file.locate(), copied)


if __name__ == '__main__':
    stage()
    pack()
    print(f'{_OUTPUT}: {_OUTPUT.stat().st_size} bytes')
