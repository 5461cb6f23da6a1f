"""Reload the settings file while the process runs."""

import os
from collections.abc import Callable
from dataclasses import replace

from loguru import logger

from marjoramfall.clock import Clock
from marjoramfall.gateway.entry_settings import EntryBounds
from marjoramfall.platform.settings import (
    InvalidSettingsError,
    PlatformSettings,
    load_settings,
)

# Changes without a signal take effect well within the time that the platform
# allows for changes of the configuration.
CHECK_INTERVAL_MS = 1000


class SettingsWatch:
    """Reload the settings file on a signal or when its time or size changes."""

    def __init__(
        self,
        path: str,
        settings: PlatformSettings,
        clock: Clock,
        *,
        on_bounds_change: Callable[[EntryBounds], None],
    ) -> None:
        self._path = path
        self._settings = settings
        self._clock = clock
        self._on_bounds_change = on_bounds_change
        self._file_signature = self._read_file_signature()

    def run(self) -> None:
        """Check the file at a fixed interval; never returns."""
        while True:
            self._clock.sleep_ms(CHECK_INTERVAL_MS)
            self.reload_if_changed()

    def reload_if_changed(self) -> None:
        """Reload the file if it was modified since the last load."""
        if self._read_file_signature() != self._file_signature:
            self.reload()

    def reload(self) -> None:
        """Load the file and apply its bounds; an invalid file changes nothing."""
        self._file_signature = self._read_file_signature()
        try:
            loaded = load_settings(self._path)
        except InvalidSettingsError as error:
            logger.bind(details=str(error)).error('settings not reloaded')
            return
        bounds = loaded.entry.bounds
        if bounds != self._settings.entry.bounds:
            self._on_bounds_change(bounds)
        needs_restart = _with_bounds(self._settings, bounds) != loaded
        logger.bind(
            bounds_changed=bounds != self._settings.entry.bounds,
            needs_restart=needs_restart,
        ).info('settings reloaded')
        # Other settings, such as addresses and names, keep the values in use until a
        # restart.
        self._settings = _with_bounds(self._settings, bounds)

    def _read_file_signature(self) -> tuple[int, int] | None:
        try:
            file_status = os.stat(self._path)
        except OSError as error:
            logger.bind(details=str(error)).warning(
                'cannot get the status of the settings file'
            )
            return None
        return file_status.st_mtime_ns, file_status.st_size


def _with_bounds(settings: PlatformSettings, bounds: EntryBounds) -> PlatformSettings:
    return replace(settings, entry=replace(settings.entry, bounds=bounds))
