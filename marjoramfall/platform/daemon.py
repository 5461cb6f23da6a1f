"""Assemble and run one entry process on the users' platform."""

import signal
import sys

import gevent
from loguru import logger

from marjoramfall.clock import Clock, RuntimeClock
from marjoramfall.gateway.entry import Entry
from marjoramfall.gateway.log_output import LogOutput, install_log_output
from marjoramfall.gateway.tasks import start_task
from marjoramfall.listening import CannotListenError
from marjoramfall.platform.dialect import PlatformDialect
from marjoramfall.platform.members import MemberDirectory
from marjoramfall.platform.move_status import MoveRecorder
from marjoramfall.platform.quarantine_record import QuarantineRecorder
from marjoramfall.platform.settings import (
    InvalidSettingsError,
    PlatformSettings,
    load_settings,
    settings_path,
)
from marjoramfall.platform.settings_watch import SettingsWatch
from marjoramfall.platform.store import StoreClient
from marjoramfall.platform.watch import OperatorWatch, ServerWatch

EXIT_OK = 0
EXIT_CANNOT_LISTEN = 1
EXIT_INVALID_SETTINGS = 2
READY_PATH = '/-/ready'


class PlatformDaemon:
    """Run an entry with the tasks that follow the store and the settings file."""

    def __init__(self, settings: PlatformSettings, path: str, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._entry = Entry(
            settings.entry,
            PlatformDialect(),
            clock,
            ready_path=READY_PATH,
            on_stale_watch=self._restart_silent_watches,
        )
        registry = self._entry.registry
        self._watches = tuple(
            watch(self._new_client(), registry, clock, duty=self._entry.watch_duty)
            for watch in (OperatorWatch, ServerWatch)
        )
        self._recorder = MoveRecorder(
            self._new_client(),
            self._entry.moves,
            self._entry.peers,
            clock,
            vm=settings.entry.vm,
            store_era=lambda: registry.store_era,
        )
        self._quarantine_recorder = QuarantineRecorder(
            self._new_client(),
            self._entry.quarantine,
            clock,
            is_first_start=settings.entry.is_first_start,
            store_era=lambda: registry.store_era,
        )
        self._directory = MemberDirectory(
            self._new_client(),
            self._entry.peers,
            clock,
            vm=settings.entry.vm,
            address=self._entry.peer_address,
            data_centre=settings.entry.data_centre,
            store_era=lambda: registry.store_era,
        )

        self._settings_watch = SettingsWatch(
            path, settings, clock, on_bounds_change=self._entry.use_bounds
        )

    def run(self) -> None:
        """Serve until a signal; raises `CannotListenError`."""
        gevent.signal_handler(signal.SIGTERM, self._begin_stop)
        gevent.signal_handler(signal.SIGINT, self._begin_stop)
        gevent.signal_handler(signal.SIGHUP, self._settings_watch.reload)
        self._entry.listen()
        for watch in self._watches:
            watch.start()
        for name, run in (
            ('follow the entries', self._directory.run),
            ('record moves', self._recorder.run),
            ('record quarantined causes', self._quarantine_recorder.run),
            ('watch the settings', self._settings_watch.run),
        ):
            start_task(run, self._clock, name=name)
        self._entry.run()

    def _begin_stop(self) -> None:
        self._entry.begin_stop()
        self._directory.withdraw(self._new_client())

    def _new_client(self) -> StoreClient:
        return StoreClient(self._settings.store_address, self._clock)

    def _restart_silent_watches(self) -> None:
        for watch in self._watches:
            watch.restart_if_silent()


def run_daemon() -> int:
    """Load the settings, run the entry and return the exit status."""
    clock = RuntimeClock()
    output = LogOutput(clock)
    install_log_output(output, vm='')
    path = settings_path()
    try:
        settings = load_settings(path)
    except InvalidSettingsError as error:
        for line in str(error).splitlines():
            logger.bind(fault=line).error('invalid settings')
        output.flush()
        return EXIT_INVALID_SETTINGS
    install_log_output(output, vm=settings.entry.vm)
    output.start()
    return _serve(settings, path, clock, output)


def _serve(
    settings: PlatformSettings, path: str, clock: Clock, output: LogOutput
) -> int:
    try:
        PlatformDaemon(settings, path, clock).run()
    except CannotListenError as error:
        logger.bind(details=str(error)).error('entry cannot listen')
        output.flush()
        return EXIT_CANNOT_LISTEN
    output.flush()
    return EXIT_OK


def main() -> None:
    """Exit the process with the status of the entry."""
    sys.exit(run_daemon())
