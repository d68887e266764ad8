"""A small site: two services with three hosts each."""

from tools.site_rig.scene import Host, hosts_of
from tools.site_rig.site import (
    Bounds,
    Distribution,
    Machines,
    RequestClass,
    ServiceRule,
    Site,
    Zone,
)

SERVICES = ('desk', 'ledger')
_HOSTS_OF_EACH = 3


def small_site(**others) -> Site:
    """Return the site; ``others`` are further fields."""
    return Site(
        name='small',
        length_s=32,
        zones=(Zone(name='z', region='r'),),
        machines=tuple(
            Machines(zone='z', count=_HOSTS_OF_EACH, app=name, memory_mb=300)
            for name in SERVICES
        ),
        services=tuple(
            ServiceRule(name=name, slots=2, queue=1, conn_cap=9, speeds=(1,))
            for name in SERVICES
        ),
        classes=(
            RequestClass(
                name='read',
                service='desk',
                kind='safe',
                work_ms=Distribution(mean=0, max=0),
                deadline_ms=1000,
                aim_ms=100,
            ),
        ),
        traffic=(),
        bounds=Bounds(
            drain_ms=2500, config_ms=2500, grace_s=6, budget_slack=48
        ),
        **({'day': ()} | others),
    )


def small_hosts() -> tuple[Host, ...]:
    """Return the hosts of the site."""
    return hosts_of(small_site(), '127.9.1', 0, 2)
