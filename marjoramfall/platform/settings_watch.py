"""Use changed settings while the process runs."""

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

# A change without a signal is in force well within the time that the platform
# gives to changes of the configuration.
CHECK_INTERVAL_MS = 1000


class SettingsWatch:
    """Read the settings file again when a signal or its times say so."""

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
        """Look for changes from time to time; never returns."""
        while True:
            self._clock.sleep_ms(CHECK_INTERVAL_MS)
            self.check()

    def check(self) -> None:
        """Read the file if it was written since the last time."""
        if self._read_file_signature() != self._file_signature:
            self.reload()

    def reload(self) -> None:
        """Read the file and use its bounds; a faulty file changes nothing."""
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
        # Addresses and names are those of the start until the process ends.
        self._settings = _with_bounds(self._settings, bounds)

    def _read_file_signature(self) -> tuple[int, int] | None:
        try:
            file_status = os.stat(self._path)
        except OSError as error:
            logger.bind(details=str(error)).warning('settings file not found')
            return None
        return file_status.st_mtime_ns, file_status.st_size


def _with_bounds(settings: PlatformSettings, bounds: EntryBounds) -> PlatformSettings:
    return replace(settings, entry=replace(settings.entry, bounds=bounds))
