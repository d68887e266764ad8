"""Runs a node's program with the links of the rig: ``node_launcher.py``.

It is a script of its own, so that the program comes from the current folder
and imports next to nothing before its first line: which signals it survives
must not change. Its event loop is replaced when it imports asyncio.
"""

import os
import runpy
import sys

_PROGRAM = 'fescueknot.platform.main'
_ASYNCIO = 'asyncio'
_PAGE_VARIABLE = 'SITE_RIG_LINKS'
_FOLDER = os.path.dirname(os.path.abspath(__file__))
_ROOT = os.path.dirname(os.path.dirname(_FOLDER))


class AsyncioHook:
    """Installs the links as soon as asyncio has been imported."""

    def find_spec(self, name, path=None, target=None):
        """Find asyncio as all others would, and step in after its import."""
        if name != _ASYNCIO:
            return None
        sys.meta_path.remove(self)
        found = (finder.find_spec(name, path) for finder in sys.meta_path)
        spec = next(filter(None, found))
        import_it = spec.loader.exec_module

        def import_and_install(module) -> None:  # noqa: WPS430
            import_it(module)
            install_links()

        spec.loader.exec_module = import_and_install
        return spec


def install_links() -> None:
    """Import the rig's modules from beside this script, and use them."""
    programs_path = sys.path[0]
    # The program may have other tools in its folder.
    sys.path[0] = _ROOT
    try:
        from tools.site_rig import link_loop  # noqa: PLC0415
    finally:
        sys.path[0] = programs_path
    link_loop.install(os.environ[_PAGE_VARIABLE])


def main() -> None:
    """Run the program as if it had been started itself."""
    sys.path[0] = os.getcwd()
    sys.meta_path.insert(0, AsyncioHook())
    runpy.run_module(_PROGRAM, run_name='__main__', alter_sys=True)


if __name__ == '__main__':
    main()
