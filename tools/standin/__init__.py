"""Stand-ins of what surrounds the system: targets and callers.

Used by the demo and by tests; no part of the product.
"""
