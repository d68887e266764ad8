"""The command line.

Start at :func:`fescueknot.cli.main.run`; subcommands are listed in
:mod:`fescueknot.cli._subcommands`.
"""
