"""Leaves TLS out of the process; import it before ``asyncio``.

Nodes speak plain HTTP. ``asyncio`` does without the module, and the library
behind it would cost 5 MB in each node.
"""

import sys

sys.modules.setdefault('ssl', None)
