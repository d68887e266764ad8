"""Words of ``how`` that are played more weakly than they are meant."""

from types import MappingProxyType

# What is played in their place.
WEAKER = MappingProxyType(
    {
        'revoke': 'idle routes in the place of keys',
        'lapse': (
            'no leases in this store: it is down until those of nodes '
            'have run out'
        ),
    }
)
