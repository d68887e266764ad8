"""Table of subcommands: module, class and one-line help of each.

A module is imported only when its subcommand is used, so that a subcommand
does not load libraries that only other subcommands need.
"""

import types

import msgspec


class CommandSpec(msgspec.Struct, frozen=True, kw_only=True):
    """Module, class and one-line help of a subcommand or an action."""

    module: str
    class_name: str
    summary: str


SUBCOMMANDS = types.MappingProxyType(
    {
        'bench': CommandSpec(
            module='fescueknot.cli.bench',
            class_name='Bench',
            summary='run a measurement and print its result as JSON',
        ),
        'drain': CommandSpec(
            module='fescueknot.cli.drain',
            class_name='Drain',
            summary='take a node out of service without cutting requests',
        ),
        'explain': CommandSpec(
            module='fescueknot.cli.explain',
            class_name='Explain',
            summary='show how a node would handle a request, and why',
        ),
        'explain-request': CommandSpec(
            module='fescueknot.cli.explain_request',
            class_name='ExplainRequest',
            summary='show what happened to one request, from logs of nodes',
        ),
        'fleet': CommandSpec(
            module='fescueknot.cli.fleet',
            class_name='Fleet',
            summary='summarise the metrics of all nodes',
        ),
        'metrics': CommandSpec(
            module='fescueknot.cli.views',
            class_name='MetricsCommand',
            summary='print the counters and percentiles of a node',
        ),
        'node': CommandSpec(
            module='fescueknot.cli.node',
            class_name='Node',
            summary='run the process beside a target',
        ),
        'objectapi-standin': CommandSpec(
            module='fescueknot.cli.objectapi_standin',
            class_name='ObjectApiStandIn',
            summary="run a stand-in for the platform's object API",
        ),
        'replay': CommandSpec(
            module='fescueknot.cli.replay',
            class_name='Replay',
            summary='replay a recorded trace and compare its outcomes',
        ),
        'routes': CommandSpec(
            module='fescueknot.cli.routes',
            class_name='Routes',
            summary='list, explain, compare and check routes',
        ),
        'rules': CommandSpec(
            module='fescueknot.cli.rules',
            class_name='Rules',
            summary='check, apply, show and compare rules',
        ),
        'schema': CommandSpec(
            module='fescueknot.cli.settings',
            class_name='Schema',
            summary='print the JSON Schema of the settings file',
        ),
        'settings-check': CommandSpec(
            module='fescueknot.cli.settings',
            class_name='SettingsCheck',
            summary='check a settings file and name every fault',
        ),
        'status': CommandSpec(
            module='fescueknot.cli.views',
            class_name='Status',
            summary='print the state of a node',
        ),
        'targets': CommandSpec(
            module='fescueknot.cli.views',
            class_name='Targets',
            summary='print the targets that a node knows',
        ),
        'trace': CommandSpec(
            module='fescueknot.cli.trace',
            class_name='Trace',
            summary='print the spans of one request as a tree',
        ),
    }
)
