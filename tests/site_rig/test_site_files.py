"""What the rig makes of a site file, and what it leaves out."""

import random

import msgspec
import pytest

from tests.site_rig.small_site import small_site
from tools.site_rig.configurations import Configurations
from tools.site_rig.site import load_site
from tools.site_rig.unread_fields import unread_fields

SERVICE = 'services: '
CLASSES = 'classes: '


def written(**sections) -> dict:
    """Return the content of a file for the small site."""
    return msgspec.to_builtins(small_site()) | sections


def lines_of(**sections) -> list[str]:
    """Return what is left out, without what always is."""
    content = written(**sections)
    always = unread_fields(written(), small_site())
    found = unread_fields(content, small_site())
    return [line for line in found if line not in always]


class TestUnread:
    """Fields that a run names as left out."""

    # Guards against fields that are left out without a word.
    @pytest.mark.parametrize(
        ('section', 'fields', 'line'),
        [
            ('services', {'knee': 1, 'cold_s': 3}, 'services: knee'),
            ('classes', {'odd': 1, 'more': 2}, 'classes: more, odd'),
            ('machines', {'cpu_share': 0.8}, 'machines: cpu_share'),
            ('traffic', {'odd': 'x', 'none': 0}, 'traffic: odd'),
            ('timing', {'forged': True, 'late': 0}, 'timing: forged'),
        ],
    )
    def test_fields(self, section, fields, line):
        entries = written().get(section)
        found = fields if section == 'timing' else [*entries, fields]

        assert lines_of(**{section: found}) == [line]

    # Guards against a file whose lines get lost.
    def test_loaded(self, tmp_path):
        path = tmp_path / 'site.toml'
        path.write_text(
            """
name = "s"
length_s = 32
zones = []
machines = []
services = []
classes = []
traffic = []
bounds = { drain_ms = 1, config_ms = 1, grace_s = 1, budget_slack = 1 }
day = []
timing = { forged = true }
"""
        )

        assert 'timing: forged' in load_site(path).unread


class TestIdleRoutes:
    """Routes that no client uses, and that are taken away."""

    # Guards against taking away what clients use, or nothing.
    def test_revoked(self):
        site = small_site()
        configurations = Configurations(site=site, rng=random.Random(1))

        def names(how: str) -> list[str]:
            made = configurations.change(how)
            rules = made['listeners'][0]['routeRules']
            return [rule['name'] for rule in rules]

        used = [kind.name for kind in site.classes]
        counts = []
        for how in ('timeout', 'revoke', 'timeout', 'revoke'):
            found = names(how)
            counts.append(len(found) - len(used))
            assert found[: len(used)] == used
        assert counts == [8, 4, 4, 2]

    # Guards against idle routes that lead where those of clients do.
    def test_paths(self):
        site = small_site()
        made = Configurations(site=site, rng=random.Random(1)).change('')

        rules = made['listeners'][0]['routeRules']
        paths = [rule['match']['pathPrefix'] for rule in rules]
        assert len(set(paths)) == len(paths) == len(site.classes) + 8
