"""The command line.

The entry point is :func:`fescueknot.cli.main.run`; subcommands are listed in
:mod:`fescueknot.cli._subcommands`.
"""
