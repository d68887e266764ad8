"""Gives a program links as soon as it imports asyncio, and not before.

Until its first line it imports next to nothing, as without: which signals it
survives at its start must not change.
"""

import os
import sys

_ASYNCIO = 'asyncio'


class AsyncioHook:
    """Installs the links of a page after the import of asyncio."""

    def __init__(self, *, path: str) -> None:
        self._path = path

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
            self.install()

        spec.loader.exec_module = import_and_install
        return spec

    def install(self) -> None:
        """Let the event loops of this process have links."""
        from tools.site_rig import link_loop  # noqa: PLC0415

        link_loop.install(self._path)


def follow_links(path: str) -> None:
    """Let this process have the links of a page."""
    hook = AsyncioHook(path=os.path.abspath(path))
    if _ASYNCIO in sys.modules:
        hook.install()
    else:
        sys.meta_path.insert(0, hook)
