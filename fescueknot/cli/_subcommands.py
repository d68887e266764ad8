"""Table of subcommands: where each one lives and what it does.

A module is imported when its subcommand is used, so that one subcommand does
not pay for the libraries of the others.
"""

import types

import msgspec


class Entry(msgspec.Struct, frozen=True, kw_only=True):
    """Module and class of a subcommand, and its one-line help."""

    module: str
    class_name: str
    summary: str


SUBCOMMANDS = types.MappingProxyType(
    {
        'bench': Entry(
            module='fescueknot.cli.bench',
            class_name='Bench',
            summary='run a measurement and print its result as JSON',
        ),
        'drain': Entry(
            module='fescueknot.cli.drain',
            class_name='Drain',
            summary='take a node out of service without cutting requests',
        ),
        'explain': Entry(
            module='fescueknot.cli.explain',
            class_name='Explain',
            summary='say what the layer would do with a request, and why',
        ),
        'explain-request': Entry(
            module='fescueknot.cli.explain_request',
            class_name='ExplainRequest',
            summary='tell the life of one request from the logs of nodes',
        ),
        'fleet': Entry(
            module='fescueknot.cli.fleet',
            class_name='Fleet',
            summary='print one page on all nodes from their metrics',
        ),
        'metrics': Entry(
            module='fescueknot.cli.views',
            class_name='MetricsCommand',
            summary='print the counters and percentiles of a node',
        ),
        'node': Entry(
            module='fescueknot.cli.node',
            class_name='Node',
            summary='run the process beside a target',
        ),
        'objectapi-standin': Entry(
            module='fescueknot.cli.objectapi_standin',
            class_name='ObjectApiStandIn',
            summary="run a stand-in of the platform's object API",
        ),
        'replay': Entry(
            module='fescueknot.cli.replay',
            class_name='Replay',
            summary='replay a recorded trace against stated outcomes',
        ),
        'routes': Entry(
            module='fescueknot.cli.routes',
            class_name='Routes',
            summary='list, explain and compare a long configuration',
        ),
        'rules': Entry(
            module='fescueknot.cli.rules',
            class_name='Rules',
            summary='check, apply, show and compare rules',
        ),
        'schema': Entry(
            module='fescueknot.cli.settings',
            class_name='Schema',
            summary='print the JSON Schema of the settings file',
        ),
        'settings-check': Entry(
            module='fescueknot.cli.settings',
            class_name='SettingsCheck',
            summary='check a settings file and name every fault',
        ),
        'status': Entry(
            module='fescueknot.cli.views',
            class_name='Status',
            summary='print the state of a node',
        ),
        'targets': Entry(
            module='fescueknot.cli.views',
            class_name='Targets',
            summary='print the targets that a node knows',
        ),
        'trace': Entry(
            module='fescueknot.cli.trace',
            class_name='Trace',
            summary='print the spans of one request as a tree',
        ),
    }
)
