"""Applies changes of the settings file while the node runs."""

from fescueknot.relay.observer import Observer
from fescueknot.relay.part_settings import leaving_bounds
from fescueknot.relay.settings import (
    RelaySettings,
    RelaySettingsError,
    SettingsFile,
)
from fescueknot.targets.local_target import LocalTarget


class SettingsReloader:
    """Applies changed bounds; addresses apply at the next start only."""

    def __init__(
        self, *, source: SettingsFile, target: LocalTarget, observer: Observer
    ) -> None:
        self._source = source
        self._target = target
        self._observer = observer

    @property
    def current(self) -> RelaySettings:
        """Return the settings as last loaded."""
        return self._source.current

    def reload(self) -> None:
        """Load the file again; settings that are not valid change nothing."""
        try:
            changed_settings = self._source.reload()
        except RelaySettingsError as error:
            self._observer.note('node.reload_refused', error=str(error))
            return
        is_changed = changed_settings is not None
        self._observer.note('node.reloaded', changed=is_changed)
        if is_changed:
            self._target.bounds = leaving_bounds(changed_settings)

    def reload_if_modified(self) -> None:
        """Load the file again if it was written since it was last read."""
        if self._source.is_modified():
            self.reload()
