"""Tests the list of a process's children."""

import os
import subprocess
import sys

from tools import process_tree

_SLEEP = (sys.executable, '-c', 'input()')


class TestProcessTree:
    """Children of a process."""

    def test_a_child_is_listed_until_it_ends(self) -> None:
        with subprocess.Popen(_SLEEP, stdin=subprocess.PIPE) as child:
            assert child.pid in process_tree.children(os.getpid())
            child_facts = process_tree.facts(child.pid)
            child.communicate(b'\n')
        assert not child_facts.children
        assert child_facts.resident_kb > 0
        assert child.pid not in process_tree.children(os.getpid())
