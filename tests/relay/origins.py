"""Origins with peers that reply as they are told."""

import asyncio

from fescueknot.httpio.messages import Request, Response
from fescueknot.identity import Address, Place
from fescueknot.randomness import seeded
from fescueknot.relay import origin as origins
from fescueknot.relay.edge import EdgeHeaders
from fescueknot.relay.fleet import Fleet, viewpoint_of
from fescueknot.relay.levels_by_route import LevelsByRoute
from fescueknot.relay.messages import (
    AnswerHead,
    Ending,
    RefusedFor,
    Reply,
)
from fescueknot.relay.reachability import Reachability
from fescueknot.relay.runs import RunsHere
from fescueknot.retries.shared_budget import SharedBudgetSettings
from fescueknot.routes.in_force import RoutesInForce
from fescueknot.routes.messages import Configuration, Route, WeightedService
from fescueknot.targets.directory import TargetDirectory
from tests.relay.parts import Notes, listing

HERE = Place(region='sierra', failure_domain='sierra-a')
EDGE = EdgeHeaders()
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
    directory.apply_changes(listing(HERE, *range(1, count + 1)))
    return directory


def origin_of(peers, *, targets=4, tokens=3.0, notes=None, **changes):
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
    fleet = Fleet(
        directory=directory_of(targets),
        routes=routes,
        viewpoint=viewpoint_of(name='me', place=HERE),
        budget=SharedBudgetSettings(initial=tokens, most_saved=5, slack=100),
        reachability=Reachability(
            probe=lambda node: None, changed=lambda node, back: None
        ),
        rng=rng,
    )
    fleet.refresh({'entries'}, 0)
    return origins.Origin(
        place=origins.Place(
            node=Address(host='10.9.9.9', port=1), service='desk'
        ),
        edge=EDGE,
        routes=routes,
        fleet=fleet,
        gatekeeper=None,
        peers=peers,
        observer=notes or Notes(),
        runs=RunsHere(),
        levels=LevelsByRoute(),
        heed_version=lambda version, node: None,
        outdated=lambda: peers.outdated.append(len(peers.calls)),
    )


def request_of(target='/a/1', deadline='5000', **headers):
    pairs = {'host': 'h', 'attempt-id': 'c1', 'deadline-ms': deadline}
    pairs.update(headers)
    return Request(method='GET', target=target, headers=tuple(pairs.items()))
