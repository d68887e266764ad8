"""Adapter to the users' platform: its header names and data formats."""
