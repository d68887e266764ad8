"""Plays a site file: ``python -m tools.site_rig.main SITE --day trouble-2``."""

import argparse
import asyncio
import pathlib
import sys
import tempfile

from tools.site_rig.deployment import TARGET_GROUPS, DeploymentRun
from tools.site_rig.network import claim_network
from tools.site_rig.plans import MIXED, length_of, plan_of, site_of
from tools.site_rig.report import print_report
from tools.site_rig.scene import Scene, hosts_of
from tools.site_rig.site import load_site
from tools.site_rig.spread import Spread

_ROOT = pathlib.Path(__file__).resolve().parent.parent.parent


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('site', type=pathlib.Path)
    parser.add_argument('--day', default=MIXED, help='a day, or "mixed"')
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--length', type=float, default=32)
    parser.add_argument('--zones', type=int, default=0, help='0 for all')
    _add_shares(parser)
    parser.add_argument(
        '--code',
        type=pathlib.Path,
        default=_ROOT,
        help='the folder that has the program of the nodes',
    )
    parser.add_argument('--keep', type=pathlib.Path, help='folder of records')
    return parser.parse_args()


def _add_shares(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--odd', type=float, default=0, help='share of the odd clients'
    )
    parser.add_argument('--rate', type=float, default=1)


def _scene(options: argparse.Namespace, network: str, seed: int) -> Scene:
    site = site_of(load_site(options.site), options.day)
    length_s = length_of(site, options.day, options.length)
    hosts = hosts_of(site, network, options.zones, TARGET_GROUPS)
    plan = plan_of(
        Spread(site=site, hosts=hosts, length_s=length_s, seed=seed),
        options.day,
    )
    prefix = f'{site.name}-{options.day}-{seed}-'
    return Scene(
        site=site,
        seed=seed,
        hosts=plan.hosts,
        disruptions=plan.disruptions,
        folder=tempfile.mkdtemp(prefix=prefix, dir=options.keep),
        length_s=length_s,
        rate_ratio=options.rate,
        odd_share=options.odd,
        not_played=plan.not_played + site.net.not_played + site.unread,
    )


def main() -> int:
    """Play seeds one after the other and print what each of them lost."""
    options = _parse()
    lost = 0
    network, claim = claim_network()
    for seed in range(options.first, options.first + options.seeds):
        scene = _scene(options, network, seed)
        run = DeploymentRun(scene=scene, code=options.code.resolve())
        asyncio.run(run.play())
        lost += print_report(scene, scene.folder)
    claim.close()
    return 1 if lost else 0


if __name__ == '__main__':
    sys.exit(main())
