"""Settings of a node, read from a JSON file and validated as a whole.

Start at :func:`fescueknot.settings.loader.load_settings`.
"""
