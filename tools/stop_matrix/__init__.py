"""Plays what clients do against what is done to nodes, landing by landing."""
