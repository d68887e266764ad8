"""Replay of recorded traces through the real decision code."""
