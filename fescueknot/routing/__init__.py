"""Load balancing: picks a target instance for each call.

The code does no I/O and reads no clock: time and random source are arguments.
Nothing here locks; the caller serialises the calls.
"""
