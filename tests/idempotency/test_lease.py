"""Leases and seals at their edges, without the explorer."""

import pytest

from fescueknot.idempotency.lease import LeaseKeeper, PromiseGiver
from fescueknot.idempotency.member import KeyMember
from fescueknot.idempotency.messages import (
    Acknowledgement,
    Promise,
    PromiseRequest,
    StoreEvidence,
)
from fescueknot.idempotency.roster_seal import RosterSeal
from fescueknot.idempotency.roster_view import RosterView
from fescueknot.idempotency.terms import Terms
from fescueknot.identity import InstanceId
from fescueknot.roster import Electorate, Member, MemberState, Roster

TERMS = Terms(lease_s=8, margin_s=1, outage_limit_s=100)
VERSION = 7


def instance(name: str) -> InstanceId:
    return InstanceId(name=name, incarnation=1)


def roster(
    holders: str, *, suspended: str = '', before: Electorate | None = None
) -> Roster:
    return Roster(
        service='s',
        version=VERSION,
        members=tuple(
            Member(
                instance=instance(name),
                state=MemberState.SUSPENDED
                if name in suspended
                else MemberState.SERVING,
            )
            for name in holders
        ),
        before=before or Electorate(),
    )


def keeper(holders: str, *, promised: str, sent_s: float) -> LeaseKeeper:
    view = RosterView(instance=instance('A'), roster=roster(holders))
    kept = LeaseKeeper(view=view, terms=TERMS)
    kept.add_evidence(StoreEvidence(version=VERSION, at_s=0))
    for name in promised:
        kept.add_promise(
            Promise(
                promiser=instance(name),
                requester=instance('A'),
                version=VERSION,
                sent_s=sent_s,
            )
        )
    return kept


class TestLeaseKeeper:
    """When a lease ends."""

    @pytest.mark.parametrize(
        ('holders', 'promised', 'sent_s', 'expires_s'),
        [
            ('A', '', 0, 8),
            ('AB', '', 50, 8),
            ('AB', 'B', 50, 58),
            ('ABC', 'C', 50, 58),
            ('ABCDEF', 'BC', 50, 8),
            ('ABCDEF', 'BCD', 50, 58),
            ('ABC', 'BC', 95, 100),
            ('ABC', 'XY', 50, 8),
        ],
    )
    def test_store_evidence_or_a_quorum_carries_it(
        self, holders: str, promised: str, sent_s: float, expires_s: float
    ) -> None:
        kept = keeper(holders, promised=promised, sent_s=sent_s)
        assert kept.expires_s() == expires_s

    def test_news_of_a_later_version_ends_it(self) -> None:
        kept = keeper('ABC', promised='BC', sent_s=50)
        kept.add_evidence(StoreEvidence(version=VERSION + 1, at_s=60))
        assert kept.expires_s() < 0


class TestPromiseGiver:
    """Who is promised what."""

    @pytest.mark.parametrize(
        ('suspended', 'version', 'promised'),
        [
            ('', VERSION, True),
            ('', VERSION - 1, False),
            ('', VERSION + 1, False),
            ('A', VERSION, False),
            ('B', VERSION, False),
        ],
    )
    def test_only_serving_members_on_one_version(
        self, suspended: str, version: int, promised: bool
    ) -> None:
        view = RosterView(
            instance=instance('B'), roster=roster('ABC', suspended=suspended)
        )
        request = PromiseRequest(
            requester=instance('A'), version=version, sent_s=0
        )
        granted = PromiseGiver(view=view).grant(request)
        assert bool(granted) is promised

    def test_a_leaver_promises_nothing(self) -> None:
        leaver = KeyMember(
            instance=instance('B'), roster=roster('ABC'), now_s=0, terms=TERMS
        )
        request = PromiseRequest(
            requester=instance('A'), version=VERSION, sent_s=0
        )
        assert leaver.gate.promises.grant(request)
        leaver.leaving()
        assert not leaver.gate.promises.grant(request)


class TestSealWatch:
    """When a version is sealed, for B and with A suspended."""

    @pytest.mark.parametrize(
        ('holders', 'acknowledged', 'before', 'sealed_s'),
        [
            ('AB', '', Electorate(), 9),
            ('ABC', '', Electorate(), 101),
            ('ABC', 'C', Electorate(), 14),
            ('ABC', 'AC', Electorate(), 5),
            ('ABCDEF', 'C', Electorate(), 101),
            ('ABCDEF', 'CD', Electorate(), 14),
            ('AB', '', Electorate(electors=(instance('D'),)), 9),
            (
                'AB',
                '',
                Electorate(electors=(instance('A'), instance('D')), quorum=2),
                101,
            ),
            (
                'AB',
                'D',
                Electorate(electors=(instance('A'), instance('D')), quorum=2),
                14,
            ),
        ],
    )
    def test_it_takes_electors_and_a_lease_term(
        self,
        holders: str,
        acknowledged: str,
        before: Electorate,
        sealed_s: float,
    ) -> None:
        view = RosterView(
            instance=instance('B'),
            roster=roster(holders, suspended='A', before=before),
        )
        seal = RosterSeal(view=view, terms=TERMS, now_s=0)
        seal.observe(now_s=0)
        for name in acknowledged:
            seal.add_acknowledgement(
                Acknowledgement(instance=instance(name), version=VERSION),
                now_s=5,
            )
        assert not seal.sealed(now_s=sealed_s - 0.5)
        assert seal.sealed(now_s=sealed_s)

    def test_older_acknowledgements_dont_count(self) -> None:
        view = RosterView(instance=instance('B'), roster=roster('ABC'))
        seal = RosterSeal(view=view, terms=TERMS, now_s=0)
        seal.observe(now_s=0)
        for name in 'AC':
            seal.add_acknowledgement(
                Acknowledgement(instance=instance(name), version=VERSION - 1),
                now_s=0,
            )
        assert not seal.sealed(now_s=50)
