"""Origins with peers that reply as they are told."""

import asyncio

from fescueknot.httpio.messages import Request, Response
from fescueknot.identity import Address, Place
from fescueknot.randomness import seeded
from fescueknot.relay import caller_handler as origins
from fescueknot.relay.header_names import HeaderNames
from fescueknot.relay.levels_by_route import LevelsByRoute
from fescueknot.relay.messages import (
    AnswerHead,
    Ending,
    RefusedFor,
    Reply,
)
from fescueknot.relay.reachability import Reachability
from fescueknot.relay.runs import LocalRuns
from fescueknot.relay.target_selector import TargetSelector, viewpoint_of
from fescueknot.retries.shared_budget import SharedBudgetSettings
from fescueknot.routes.in_force import RoutesInForce
from fescueknot.routes.messages import Configuration, Route, WeightedService
from fescueknot.targets.directory import TargetDirectory
from tests.relay.fakes import RecordingObserver, target_documents

HERE = Place(region='sierra', failure_domain='sierra-a')
HEADER_NAMES = HeaderNames()
OK = Response(status=200, body=b'ok')
FAILED_RESPONSE = Response(status=500)


def reply_of(ending, response=None, refused_for=RefusedFor.NONE):
    head = AnswerHead(ending=ending, refused_for=refused_for)
    return Reply(head=head, response=response)


ANSWERED = reply_of(Ending.ANSWERED, OK)
FAILED = reply_of(Ending.ANSWERED, FAILED_RESPONSE)
REFUSED = reply_of(Ending.REFUSED, refused_for=RefusedFor.OVERLOAD)
AWAY = reply_of(Ending.TURNED_AWAY)
UNKNOWN = reply_of(Ending.UNKNOWN)
SILENT = 'silent'


class Peers:
    """Gives each call the next reply."""

    def __init__(self, replies):
        self.replies = list(replies)
        self.calls = []
        self.outdated = []

    async def send(self, call, node):
        self.calls.append(call)
        reply = self.replies.pop(0)
        if reply == SILENT:
            await asyncio.sleep(60)
        return reply


def directory_of(count):
    directory = TargetDirectory()
    directory.apply_changes(target_documents(HERE, *range(1, count + 1)))
    return directory


def origin_of(peers, *, targets=4, tokens=3.0, observer=None, **changes):
    rng = seeded(seed=1)
    routes = RoutesInForce(rng=rng)
    fields = {
        'name': 'r',
        'host': 'h',
        'path_prefix': '/a/',
        'services': (WeightedService(service='entries'),),
        'idempotent': True,
        'attempts': 2,
        'timeout_s': 20,
    }
    route = Route(**{**fields, **changes})
    routes.offer(Configuration(version=1, routes=(route,)))
    selector = TargetSelector(
        directory=directory_of(targets),
        routes=routes,
        viewpoint=viewpoint_of(name='me', place=HERE),
        retry_budget=SharedBudgetSettings(
            initial_tokens=tokens, max_tokens=5, slack=100
        ),
        reachability=Reachability(
            probe=lambda node: None, on_change=lambda node, back: None
        ),
        rng=rng,
    )
    selector.refresh({'entries'}, 0)
    return origins.CallerHandler(
        local_node=origins.LocalNode(
            node=Address(host='10.9.9.9', port=1), service='desk'
        ),
        header_names=HEADER_NAMES,
        routes=routes,
        selector=selector,
        gatekeeper=None,
        peers=peers,
        observer=observer or RecordingObserver(),
        runs=LocalRuns(),
        levels=LevelsByRoute(),
        on_routes_version=lambda version, node: None,
        on_outdated_entry=lambda: peers.outdated.append(len(peers.calls)),
    )


def request_of(target='/a/1', deadline='5000', **headers):
    pairs = {'host': 'h', 'attempt-id': 'c1', 'deadline-ms': deadline}
    pairs.update(headers)
    return Request(method='GET', target=target, headers=tuple(pairs.items()))
