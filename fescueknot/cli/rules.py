"""Subcommand ``rules``: the table of its actions."""

import types

from fescueknot.cli._subcommands import Entry
from fescueknot.cli.group import CommandGroup


class Rules(CommandGroup):
    """What operators do with rules."""

    description = (
        'Checks, applies, shows and compares rules. rules ACTION --help tells '
        'more.'
    )
    actions = types.MappingProxyType(
        {
            'check': Entry(
                module='fescueknot.cli.rules_check',
                class_name='Check',
                summary='check a rules file and name every problem',
            ),
            'apply': Entry(
                module='fescueknot.cli.rules_apply',
                class_name='Apply',
                summary='put a rules file in force',
            ),
            'show': Entry(
                module='fescueknot.cli.rules_views',
                class_name='Show',
                summary='print the accepted rules',
            ),
            'history': Entry(
                module='fescueknot.cli.rules_views',
                class_name='History',
                summary='print who changed the rules, and when',
            ),
            'diff': Entry(
                module='fescueknot.cli.rules_views',
                class_name='Diff',
                summary='compare a rules file with the accepted rules',
            ),
            'wait': Entry(
                module='fescueknot.cli.rules_wait',
                class_name='Wait',
                summary='wait until a version is in force everywhere',
            ),
        }
    )
