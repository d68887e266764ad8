"""All words of a site file that the rig plays, by their names.

Each family of words is a module of its own with a table that is joined here.
"""

from types import MappingProxyType

from tools.site_rig.answer_words import ANSWER_WORDS
from tools.site_rig.client_words import CLIENT_WORDS
from tools.site_rig.clock_words import CLOCK_WORDS
from tools.site_rig.configuration_words import CONFIGURATION_WORDS
from tools.site_rig.link_words import LINK_WORDS
from tools.site_rig.node_words import NODE_WORDS
from tools.site_rig.scale_in_words import SCALE_IN_WORDS
from tools.site_rig.spread import Word
from tools.site_rig.store_words import STORE_WORDS
from tools.site_rig.target_words import TARGET_WORDS

WORDS: MappingProxyType[str, Word] = MappingProxyType(
    {
        **CONFIGURATION_WORDS,
        **NODE_WORDS,
        **TARGET_WORDS,
        **SCALE_IN_WORDS,
        **STORE_WORDS,
        **LINK_WORDS,
        **ANSWER_WORDS,
        **CLIENT_WORDS,
        **CLOCK_WORDS,
    }
)
