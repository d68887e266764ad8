"""What a process of targets plays, as a table of its players."""

from tools.site_rig.player import Player
from tools.site_rig.target_group import TargetGroup
from tools.site_rig.target_life_player import TargetLifePlayer
from tools.site_rig.trouble_player import TroublePlayer

TARGET_PLAYERS: tuple[type[Player], ...] = (TargetLifePlayer, TroublePlayer)


def target_players(group: TargetGroup) -> list[Player]:
    """Return the players for a group of targets."""
    return [player(group=group) for player in TARGET_PLAYERS]
