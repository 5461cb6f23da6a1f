"""Run the product against stand-ins and replay the demo's trace.

Exits 0 only if the trace's outcomes hold and the moves end as expected.
"""

import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from functools import partial
from http import HTTPStatus
from http.client import HTTPException
from pathlib import Path

import click
import msgspec
import yaml
from demo_children import Children, DemoError, run_to_end
from demo_plan import TOKEN, DemoPlan
from geventhttpclient import HTTPClient
from rich.console import Console
from rich.table import Table

from marjoramfall.replay.server_stats import read_stats
from marjoramfall.replay.trace import load_trace

ROOT = Path(__file__).resolve().parent.parent
TRACE = ROOT / 'traces' / 'demo.jsonl'
CONFIGURATION = ROOT / 'demo' / 'configuration.yaml'
STANDINS = ROOT / 'demo' / 'standins.yaml'
START_TIMEOUT_S = 15
POLL_S = 0.1
ADMIN_TIMEOUT_S = 15
REPLAY_TIMEOUT_S = 75
# Some requests reach the old version first, so that there is a comparison.
MOVE_START_DELAY_S = 2
MOVE_LIMIT = '50s'
MOVE_ENDS = frozenset(('completed', 'taken_back'))
MOVE_STATE_PREFIX = 'MOVE_STATE_'
SETTLE_S = 3
PRODUCT = 'marjoramfall'
STANDIN_PACKAGE = 'marjoramfall_standins'

console = Console()


class Demo:
    """Start everything, replay the trace and compare the ends."""

    def __init__(self, plan: DemoPlan, children: Children, directory: Path) -> None:
        self._plan = plan
        self._children = children
        self._directory = directory
        self._operators = plan.entries[0].operators

    def start(self) -> None:
        """Start all processes and apply the configuration."""
        self._start_standins()
        for entry in self._plan.entries:
            path = self._write(f'{entry.vm}.yaml', entry.settings(self._plan.platform))
            self._children.start(entry.vm, PRODUCT, 'entry', '--config', str(path))
        for started in self._plan.entries:
            self._wait(f'{started.vm} is alive', started.operators, '/healthz')
        path = self._write('configuration.yaml', self._plan.configuration)
        console.print(self._admin('apply', str(path)).strip())
        for ready in self._plan.entries:
            self._wait(f'{ready.vm} is ready', ready.callers, '/readyz')

    def run(self) -> bool:
        """Replay the trace during the moves; return whether all held."""
        replay = self._start_replay()
        with _ended(replay):
            time.sleep(MOVE_START_DELAY_S)
            for move in self._plan.moves:
                self._start_move(move)
            console.print('moves started; the replay takes about a minute')
            code = self._wait_for_replay(replay)
        self._show_runs()
        moves_held = self._show_moves()
        return code == 0 and moves_held

    def serve(self) -> bool:
        """Serve until interrupted; return whether all processes lived on."""
        for entry in self._plan.entries:
            console.print(
                f'{entry.vm}: callers {entry.callers}, operators {entry.operators}'
            )
        console.print('serving; Ctrl-C ends all processes')
        try:
            while True:
                self._children.check()
                time.sleep(POLL_S)
        except KeyboardInterrupt:
            return True

    def stop_entries(self) -> bool:
        """Stop the entries as planned; return whether each ended with 0."""
        names = {entry.vm for entry in self._plan.entries}
        codes = self._children.stop(names)
        failed = {name: code for name, code in codes.items() if code}
        if failed:
            console.print(f'entries that did not stop cleanly: {failed}', style='red')
        return not failed

    def _start_standins(self) -> None:
        listen = ('--listen', self._plan.platform)
        self._children.start('platform', STANDIN_PACKAGE, 'platform', *listen)
        for name, arguments in self._plan.standin_arguments().items():
            self._children.start(name, STANDIN_PACKAGE, *arguments)
        for address in (self._plan.platform, *self._plan.server_addresses):
            self._wait(f'stand-in {address}', address, '/stats')
        body = msgspec.json.encode(self._plan.vm_list())
        _client(self._plan.platform).put('/vms', body=body).read()

    def _start_replay(self) -> subprocess.Popen[bytes]:
        keys = self._write('keys.yaml', self._plan.team_keys)
        command = [sys.executable, '-m', PRODUCT, 'replay', str(TRACE)]
        command += ['--keys', str(keys)]
        targets = [entry.callers for entry in self._plan.entries]
        command += _repeated('--target', targets)
        command += _repeated('--stats', self._plan.server_addresses)
        return subprocess.Popen(command, start_new_session=True)

    def _wait_for_replay(self, replay: subprocess.Popen[bytes]) -> int:
        end_s = time.monotonic() + REPLAY_TIMEOUT_S
        while time.monotonic() < end_s:
            self._children.check()
            code = replay.poll()
            if code is not None:
                return code
            time.sleep(POLL_S)
        raise DemoError('the replay takes too long')

    def _start_move(self, move: dict[str, str]) -> None:
        words = ['--id', move['id'], '--service', move['service']]
        words += ['--to', move['to'], '--within', MOVE_LIMIT]
        console.print(self._admin('move', 'start', *words).strip())

    def _show_runs(self) -> None:
        table = Table(title='Runs by backend server', title_justify='left')
        for column in ('server', 'version', 'runs'):
            table.add_column(column)
        for server in self._plan.configuration['backend_servers']:
            runs = read_stats(server['address']).requests
            table.add_row(server['server_id'], server['version_id'], str(runs))
        console.print(table)

    def _show_moves(self) -> bool:
        found = _poll(self._moves, _all_ended, SETTLE_S)
        table = Table(title='Moves', title_justify='left')
        for column in ('move', 'end', 'expected', 'reason'):
            table.add_column(column)
        held = True
        for move in self._plan.moves:
            state, reason = found.get(move['id'], ('missing', ''))
            held = held and state == move['expected']
            table.add_row(move['id'], state, move['expected'], reason)
        console.print(table)
        return held

    def _moves(self) -> dict[str, tuple[str, str]]:
        listed = msgspec.json.decode(self._admin('--json', 'move', 'list'))
        return dict(map(_move_end, listed.get('moves', ())))

    def _admin(self, *words: str) -> str:
        access = ('--address', self._operators, '--token', TOKEN)
        return run_to_end(PRODUCT, 'admin', *access, *words, timeout_s=ADMIN_TIMEOUT_S)

    def _wait(self, what: str, address: str, path: str) -> None:
        answers = partial(self._answers, address, path)
        if not _poll(answers, bool, START_TIMEOUT_S):
            raise DemoError(f'waited in vain: {what} ({address}{path})')

    def _answers(self, address: str, path: str) -> bool:
        self._children.check()
        try:
            return _client(address).get(path).status_code == HTTPStatus.OK
        except (OSError, HTTPException):
            return False

    def _write(self, name: str, content: object) -> Path:
        path = self._directory / name
        path.write_text(yaml.safe_dump(content, sort_keys=False), 'utf-8')
        return path


def _move_end(row: dict[str, str]) -> tuple[str, tuple[str, str]]:
    """Return a move's id, state and reason from either JSON form.

    The JSON form of protobuf has camel case and full enum names, and leaves
    out empty texts.
    """
    move_id = row.get('move_id') or row['moveId']
    state = row['state'].removeprefix(MOVE_STATE_PREFIX).lower()
    return move_id, (state, row.get('reason', ''))


def _client(address: str) -> HTTPClient:
    host, port = address.rsplit(':', 1)
    return HTTPClient(host, int(port))


def _repeated(option: str, settings: Iterable[str]) -> list[str]:
    return [word for setting in settings for word in (option, setting)]


def _all_ended(moves: dict[str, tuple[str, str]]) -> bool:
    return all(state in MOVE_ENDS for state, _ in moves.values())


def _poll(read: Callable[[], object], done: Callable, timeout_s: float) -> object:
    """Read until done or the timeout; return what was read last."""
    end_s = time.monotonic() + timeout_s
    while True:
        found = read()
        if done(found) or time.monotonic() > end_s:
            return found
        time.sleep(POLL_S)


@contextmanager
def _ended(process: subprocess.Popen[bytes]) -> Iterator[None]:
    try:
        yield
    finally:
        if process.poll() is None:
            process.kill()
        process.wait()


def _interrupt(signal_number: int, frame: object) -> None:
    raise KeyboardInterrupt


@click.command()
@click.option('--logs', type=click.Path(path_type=Path), help='Keep logs there.')
@click.option('--serve', 'first_port', type=int, default=0, help='Serve from there.')
def main(logs: Path | None, first_port: int) -> None:
    """Run the demo; exit 0 only if everything held.

    With --serve PORT the entries listen from that port on until Ctrl-C, and no
    trace is replayed.
    """
    signal.signal(signal.SIGTERM, _interrupt)
    started_s = time.monotonic()
    with tempfile.TemporaryDirectory(prefix='marjoramfall-demo-') as name:
        held = _run_guarded(Path(name), first_port)
        if logs:
            shutil.copytree(name, logs, dirs_exist_ok=True)
    console.print(f'{time.monotonic() - started_s:.0f} s, all held: {held}')
    sys.exit(0 if held else 1)


def _run_guarded(directory: Path, first_port: int) -> bool:
    children = Children(directory)
    try:
        return _run(children, directory, first_port)
    except (DemoError, subprocess.TimeoutExpired) as error:
        console.print(f'demo failed: {error}', style='red', markup=False)
    except KeyboardInterrupt:
        console.print('interrupted')
    finally:
        _stop_undisturbed(children)
    return False


def _stop_undisturbed(children: Children) -> None:
    # A second Ctrl-C must not keep the processes from being ended.
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, signal.SIG_IGN)
    children.stop()


def _run(children: Children, directory: Path, first_port: int) -> bool:
    plan = DemoPlan(CONFIGURATION, STANDINS, first_port=first_port)
    plan.check_trace(load_trace(TRACE))
    demo = Demo(plan, children, directory)
    demo.start()
    held = demo.serve() if first_port else demo.run()
    return demo.stop_entries() and held


if __name__ == '__main__':
    main()
