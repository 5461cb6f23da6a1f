"""Start stand-ins from the command line."""

from collections.abc import Callable

import click
import msgspec

from marjoramfall.clock import RuntimeClock
from marjoramfall_standins.engine.app import EngineOptions, EngineStandin
from marjoramfall_standins.engine.batch import EngineSpeed
from marjoramfall_standins.engine.faults import EngineFaults
from marjoramfall_standins.http import serve
from marjoramfall_standins.platform import PlatformStandin
from marjoramfall_standins.service import ServiceStandin

LISTEN = click.option(
    '--listen', required=True, help='Address to listen on, as IP:port.'
)
VERSION = click.option('--version', 'version', default='v1', show_default=True)
VM = click.option('--vm', default='vm-standin', show_default=True)

ENGINE_OPTIONS = (
    click.option('--prefill-rate', default=8000.0, help='Prompt tokens per second.'),
    click.option('--decode-rate', default=50.0, help='Tokens per second and stream.'),
    click.option('--batch-tokens', default=512, help='Tokens per step.'),
    click.option('--max-batch', default=32, help='Streams that run together.'),
    click.option('--cache-blocks', default=1024, help='Blocks of 64 prompt tokens.'),
    click.option('--checks-fencing/--ignores-fencing', default=False),
    click.option('--load-lag-ms', default=250.0),
    click.option('--cache-event-delay-ms', default=200.0),
    click.option('--faults', default='{}', help='First faults, as for POST /faults.'),
)


def _engine_options(command: Callable[..., None]) -> Callable[..., None]:
    for option in reversed(ENGINE_OPTIONS):
        command = option(command)
    return command


@click.group()
def main() -> None:
    """Simulate the platform, model engines and plain services."""


@main.command()
@LISTEN
@click.option('--write-rate', default=500.0, help='Writes per second.')
@click.option('--read-rate', default=2000.0, help='Reads per second.')
def platform(listen: str, write_rate: float, read_rate: float) -> None:
    """Serve tables, objects and the VM list."""
    standin = PlatformStandin(
        RuntimeClock(), write_rate=write_rate, read_rate=read_rate
    )
    serve(listen, standin, kind='platform')


@main.command()
@LISTEN
@VERSION
@VM
@_engine_options
def engine(listen: str, version: str, vm: str, faults: str, **numbers: float) -> None:
    """Serve completions as a model engine."""
    speed = EngineSpeed(
        prefill_tokens_per_s=numbers.pop('prefill_rate'),
        decode_tokens_per_s=numbers.pop('decode_rate'),
        batch_tokens=numbers.pop('batch_tokens'),
        max_batch=numbers.pop('max_batch'),
    )
    options = EngineOptions(version=version, vm=vm, speed=speed, **numbers)
    first_faults = msgspec.json.decode(faults, type=EngineFaults)
    standin = EngineStandin(RuntimeClock(), options, first_faults)
    standin.start()
    serve(listen, standin, kind='engine', vm=vm, version=version)


@main.command()
@LISTEN
@VERSION
@VM
@click.option('--work-ms', default=5.0, help='Duration of each call.')
def service(listen: str, version: str, vm: str, work_ms: float) -> None:
    """Serve calls as a plain service."""
    standin = ServiceStandin(RuntimeClock(), work_ms=work_ms, version=version, vm=vm)
    serve(listen, standin, kind='service', vm=vm, version=version)
