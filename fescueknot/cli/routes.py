"""Subcommand ``routes``: the table of its actions."""

import types

from fescueknot.cli._subcommands import Entry
from fescueknot.cli.group import CommandGroup


class Routes(CommandGroup):
    """What people ask of a long configuration."""

    description = (
        "Reads the operator's configuration of routes, as the platform's "
        'store has it. routes ACTION --help tells more.'
    )
    actions = types.MappingProxyType(
        {
            'list': Entry(
                module='fescueknot.cli.routes_views',
                class_name='List',
                summary='print which routes may be repeated, in groups',
            ),
            'explain': Entry(
                module='fescueknot.cli.routes_views',
                class_name='Explain',
                summary='say which route a request takes, and what that means',
            ),
            'diff': Entry(
                module='fescueknot.cli.routes_changes',
                class_name='Diff',
                summary='say in words what changed between two versions',
            ),
            'check': Entry(
                module='fescueknot.cli.routes_changes',
                class_name='Check',
                summary='name what a person should look at',
            ),
        }
    )
