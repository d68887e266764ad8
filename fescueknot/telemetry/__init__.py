"""Logs, spans and metrics of a node.

Start at :class:`fescueknot.telemetry.recorder.Telemetry`.
"""
