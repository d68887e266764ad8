"""Runs a node's program as ``python -m`` would, on its machine.

Arguments: the folder of the program, the file of the machine's clock and the
page of its links.
"""

import os
import runpy
import sys

from tools.site_rig.link_hook import follow_links
from tools.site_rig.wall_clock import follow

_PROGRAM = 'fescueknot.platform.main'


def launch(code: str, clock: str, links: str) -> None:
    """Run the program in its folder until it ends."""
    follow(clock)
    follow_links(links)
    os.chdir(code)
    sys.path[0] = code
    sys.argv = sys.argv[:1]
    runpy.run_module(_PROGRAM, run_name='__main__', alter_sys=True)


if __name__ == '__main__':
    launch(*sys.argv[1:])
