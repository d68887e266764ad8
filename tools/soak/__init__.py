"""Soak: real nodes as processes, faults from outside, promises checked."""
