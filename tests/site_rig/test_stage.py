"""What the operator's side of a run notes."""

import asyncio

import pytest

from tests.site_rig.small_site import small_hosts, small_site
from tools.site_rig.records import TroubleRecord, read_records
from tools.site_rig.scene import Disruption, Scene
from tools.site_rig.stage import Stage


class TestTrouble:
    """Disruptions of machines."""

    # Guards against excuses for machines in touch, or none for the others.
    @pytest.mark.parametrize(
        ('how', 'is_in_touch'),
        [('', False), ('reset mutual', False), ('mutual in_touch', True)],
    )
    def test_noted(self, tmp_path, how, is_in_touch):
        hosts = small_hosts()
        scene = Scene(
            site=small_site(),
            seed=1,
            hosts=hosts,
            disruptions=(),
            folder=str(tmp_path),
            length_s=1,
            rate_ratio=1,
        )

        async def noted() -> None:
            stage = Stage(scene=scene, code=tmp_path)
            made = Disruption(
                at_s=1, kind='link_cut', how=how, host=hosts[0].name
            )
            with stage.trouble(made):
                await asyncio.sleep(0)
            await stage.end()

        asyncio.run(noted())

        (found,) = read_records(tmp_path / 'signals.jsonl')
        assert isinstance(found, TroubleRecord)
        assert (found.host, found.kind) == (hosts[0].name, 'link_cut')
        assert found.is_in_touch is is_in_touch
        assert found.from_s <= found.until_s
