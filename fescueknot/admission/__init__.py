"""Admission control at the node of a target.

Concurrency limit, waiting queue, importance classes and admission levels.
The code does no I/O and reads no clock: methods take the time as an argument
and return typed messages. Nothing here locks; the caller serialises the calls.
"""
