"""Subcommand ``routes`` and its table of actions."""

import types

from fescueknot.cli._subcommands import CommandSpec
from fescueknot.cli.group import CommandGroup


class Routes(CommandGroup):
    """Actions on a configuration of routes."""

    description = (
        "Reads the operator's configuration of routes, in the format of the "
        "platform's store. Run routes ACTION --help for details."
    )
    actions = types.MappingProxyType(
        {
            'list': CommandSpec(
                module='fescueknot.cli.routes_views',
                class_name='List',
                summary='list routes in groups, and which may be repeated',
            ),
            'explain': CommandSpec(
                module='fescueknot.cli.routes_views',
                class_name='Explain',
                summary='say which route a request takes, and what that means',
            ),
            'diff': CommandSpec(
                module='fescueknot.cli.routes_changes',
                class_name='Diff',
                summary='say in words what changed between two versions',
            ),
            'check': CommandSpec(
                module='fescueknot.cli.routes_check',
                class_name='Check',
                summary='report what is wrong or odd before it is sent',
            ),
        }
    )
