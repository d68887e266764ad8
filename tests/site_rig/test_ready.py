"""Which machines of a run get new work."""

import asyncio
import os
from types import SimpleNamespace

import msgspec
import pytest

from tests.site_rig.small_site import small_hosts, small_site
from tools.site_rig import ready_watch
from tools.site_rig.clients import Clients
from tools.site_rig.member import Member
from tools.site_rig.new_work import NewWork
from tools.site_rig.ready_book import ReadyBook
from tools.site_rig.scene import Scene
from tools.site_rig.site import Traffic

HOSTS = tuple(
    msgspec.structs.replace(host, zone='ab'[number // 4])
    for number, host in enumerate(small_hosts())
)
FIRST = HOSTS[0]
OTHERS = len(HOSTS) - 1


def book_of(*answers: bool, others: int = OTHERS) -> ReadyBook:
    """Return a book in which a first host answers so, and others are in."""
    book = ReadyBook()
    for host in HOSTS[1 : 1 + others]:
        book.note(host, is_ready=True)
    for answer in answers:
        book.note(FIRST, is_ready=answer)
    return book


class TestBook:
    """Misses of one node, with the others of its failure domain in."""

    # Guards against being out too early, too late, or for too long.
    @pytest.mark.parametrize(
        ('answers', 'is_in'),
        [
            ((), False),
            ((True,), True),
            ((True, False), True),
            ((True, False, False), False),
            ((True, False, True, False), True),
            ((True, False, False, False, True), True),
            ((True, False, False, True, False), True),
        ],
    )
    def test_misses(self, answers, is_in):
        taking = book_of(*answers).taking(HOSTS)

        assert (FIRST.name in taking) is is_in
        assert taking >= {host.name for host in HOSTS[1:]}

    # Guards against sparing nodes where most of their domain are out.
    @pytest.mark.parametrize(('others', 'taking'), [(2, 2), (1, 4), (0, 4)])
    def test_fewer_than_half(self, others, taking):
        book = book_of(False, False, others=others)

        assert len(book.taking(HOSTS[:4])) == taking

    # Guards against counting the nodes of another domain, or gone ones.
    def test_present(self):
        book = book_of(False, False, others=1)

        assert book.taking(HOSTS[:2]) == {HOSTS[1].name}
        assert book.taking(HOSTS[:2] + HOSTS[4:]) > {HOSTS[1].name}
        assert FIRST.name not in book.taking(HOSTS[:2] + HOSTS[4:])


class TestNewWork:
    """What one process writes and another reads."""

    # Guards against clients that keep to what was true at first.
    def test_changes(self, tmp_path):
        written = NewWork(folder=str(tmp_path))
        read = NewWork(folder=str(tmp_path))
        for names in ({'a'}, {'a', 'b'}, set()):
            written.write(names)

            assert read.hosts() == names

    # Guards against reading a file again and again that did not change.
    def test_unchanged(self, tmp_path):
        written = NewWork(folder=str(tmp_path))
        read = NewWork(folder=str(tmp_path))
        written.write({'a'})
        path = tmp_path / 'new_work.json'
        assert read.hosts() == {'a'}
        seen = path.stat()
        path.write_bytes(b'[]')
        os.utime(path, ns=(seen.st_atime_ns, seen.st_mtime_ns))

        assert read.hosts() == {'a'}


class TestClients:
    """The clients of one failure domain."""

    # Guards against clients that send by the plan, or from gone machines.
    @pytest.mark.parametrize('names', [(), (FIRST.name,), (HOSTS[5].name,)])
    def test_present(self, tmp_path, names):
        traffic = Traffic(zone='a', mix={'read': 1}, per_s=1, clients=8)
        scene = Scene(
            site=msgspec.structs.replace(small_site(), traffic=(traffic,)),
            seed=1,
            hosts=HOSTS,
            disruptions=(),
            folder=str(tmp_path),
            length_s=1,
            rate_ratio=1,
        )
        member = Member(scene=scene, group=0, records=None)
        NewWork(folder=str(tmp_path)).write(names)

        clients = Clients(traffic=traffic, member=member)

        sending = {client.host.name for client in clients._present()}
        assert sending == set(names) & {host.name for host in HOSTS[:4]}


class TestWatch:
    """Who is asked, and what clients hear of it."""

    # Guards against machines that are gone and still get, or hold up, work.
    def test_present(self, tmp_path, monkeypatch):
        asked = []

        async def is_ready(host) -> bool:
            asked.append(host.name)
            return host is not FIRST

        monkeypatch.setattr(ready_watch, 'is_ready', is_ready)
        gone = HOSTS[1]
        stage = SimpleNamespace(
            scene=SimpleNamespace(folder=str(tmp_path)),
            nodes={
                host.name: SimpleNamespace(host=host, has_left=host is gone)
                for host in HOSTS[:4]
            },
        )

        asyncio.run(ready_watch.ReadyWatch(stage=stage).ask())

        names = {host.name for host in HOSTS[2:4]}
        assert set(asked) == names | {FIRST.name}
        assert NewWork(folder=str(tmp_path)).hosts() == names
