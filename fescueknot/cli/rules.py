"""Subcommand ``rules`` and its table of actions."""

import types

from fescueknot.cli._subcommands import CommandSpec
from fescueknot.cli.group import CommandGroup


class Rules(CommandGroup):
    """Actions on the rules."""

    description = (
        'Checks, applies, shows and compares rules. Run rules ACTION --help '
        'for details.'
    )
    actions = types.MappingProxyType(
        {
            'check': CommandSpec(
                module='fescueknot.cli.rules_check',
                class_name='Check',
                summary='check a rules file and name every problem',
            ),
            'apply': CommandSpec(
                module='fescueknot.cli.rules_apply',
                class_name='Apply',
                summary='put a rules file in force',
            ),
            'show': CommandSpec(
                module='fescueknot.cli.rules_views',
                class_name='Show',
                summary='print the accepted rules',
            ),
            'history': CommandSpec(
                module='fescueknot.cli.rules_views',
                class_name='History',
                summary='print who changed the rules, and when',
            ),
            'diff': CommandSpec(
                module='fescueknot.cli.rules_views',
                class_name='Diff',
                summary='compare a rules file with the accepted rules',
            ),
            'wait': CommandSpec(
                module='fescueknot.cli.rules_wait',
                class_name='Wait',
                summary='wait until a version is in force everywhere',
            ),
        }
    )
