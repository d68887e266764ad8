"""What the operator's process of a run plays, as a table of its players."""

from tools.site_rig.clock_player import ClockPlayer
from tools.site_rig.host_player import HostPlayer
from tools.site_rig.link_player import LinkPlayer
from tools.site_rig.node_player import ConfigurationPlayer, NodePlayer
from tools.site_rig.player import Player
from tools.site_rig.stage import Stage
from tools.site_rig.store_player import StorePlayer

OPERATOR_PLAYERS: tuple[type[Player], ...] = (
    ConfigurationPlayer,
    NodePlayer,
    HostPlayer,
    StorePlayer,
    LinkPlayer,
    ClockPlayer,
)


def operator_players(stage: Stage) -> list[Player]:
    """Return the players for a run."""
    return [player(stage=stage) for player in OPERATOR_PLAYERS]
