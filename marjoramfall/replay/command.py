"""Replay a trace from the command line."""

import sys
from collections.abc import Sequence
from pathlib import Path

import click
import msgspec
import yaml
from rich.console import Console

from marjoramfall.clock import RuntimeClock
from marjoramfall.replay.client import ReplayClient
from marjoramfall.replay.report import PrefillCounts, Report, show_report
from marjoramfall.replay.score import score_replay
from marjoramfall.replay.server_stats import (
    ServerStats,
    find_key_violations,
    read_stats,
    total_counts,
)
from marjoramfall.replay.trace import Trace, TraceError, load_trace

EXISTING_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


@click.command('replay')
@click.argument('trace_path', metavar='TRACE', type=EXISTING_FILE)
@click.option('--target', 'targets', multiple=True, required=True, help='IP:port.')
@click.option('--keys', required=True, type=EXISTING_FILE, help='Bearer key by team.')
@click.option('--stats', multiple=True, help='IP:port of each backend server.')
@click.option('--json', 'as_json', is_flag=True, help='Print JSON, not tables.')
def replay_command(
    trace_path: Path,
    targets: tuple[str, ...],
    keys: Path,
    stats: tuple[str, ...],
    as_json: bool,
) -> None:
    """Replay TRACE; exit 0 only if its stated outcomes hold."""
    try:
        trace = load_trace(trace_path)
    except TraceError as error:
        raise click.ClickException(error.message) from error
    client = ReplayClient(
        RuntimeClock(), targets, yaml.safe_load(keys.read_text('utf-8'))
    )
    report = run_replay(trace, client, stats)
    if as_json:
        click.echo(msgspec.json.encode(report))
    else:
        show_report(Console(), report)
    if report.score.violations:
        sys.exit(1)


def run_replay(trace: Trace, client: ReplayClient, stats: Sequence[str]) -> Report:
    """Replay a trace and return the report, with prefill if there are stats.

    With stats, requests with an idempotency key are also checked against the
    true runs, for which `stats` must name every backend server.
    """
    before = _read_all(stats)
    outcomes = client.run(trace)
    score = score_replay(trace, outcomes)
    report = Report(
        trace=trace.header.name, score=score, send_lag_ms=client.send_lag_ms
    )
    if stats:
        after = _read_all(stats)
        score.violations.extend(find_key_violations(outcomes, after))
        spent = total_counts(after)
        spent.subtract(total_counts(before))
        report.prefill = PrefillCounts(
            spent['prefill_tokens'],
            spent['prefill_tokens_wasted'] + score.late_prefill_tokens,
        )
    return report


def _read_all(stats: Sequence[str]) -> list[ServerStats]:
    return [read_stats(address) for address in stats]
