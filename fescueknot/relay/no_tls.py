"""Keeps the ``ssl`` module unloaded; import this before ``asyncio``.

Nodes use plain HTTP. ``asyncio`` works without ``ssl``, whose TLS library
takes 5 MB of memory in each node.
"""

import sys

sys.modules.setdefault('ssl', None)
