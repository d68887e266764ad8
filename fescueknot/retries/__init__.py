"""Retries of failed attempts.

Bounded by an allotment per root request and a retry budget per node, with
exponential back-off. The code does no I/O, reads no clock and returns typed
messages.
"""
