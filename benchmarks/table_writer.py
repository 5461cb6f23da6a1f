"""Write the tables of benchmarks and check their targets."""

from collections.abc import Iterable, Sequence

from rich.console import Console
from rich.table import Table

WIDTH = 118


class TableWriter:
    """Print tables and remember which targets were missed."""

    def __init__(self, console: Console | None = None) -> None:
        self._console = console or Console(width=WIDTH)
        self.missed: list[str] = []

    def write(
        self, title: str, columns: Sequence[str], rows: Iterable[Sequence[object]]
    ) -> None:
        """Print one table."""
        table = Table(title=title, title_justify='left')
        for number, column in enumerate(columns):
            table.add_column(
                column, justify='right' if number else 'left', no_wrap=True
            )
        for row in rows:
            table.add_row(*(self._format(cell) for cell in row))
        self._console.print(table)

    def target(self, name: str, measured: float, bound: float, *, met: bool) -> None:
        """Print a target and remember it if it was missed."""
        verdict = 'met' if met else 'MISSED'
        self._console.print(f'{verdict}: {name}: {measured:.4g} (target {bound:g})')
        if not met:
            self.missed.append(name)

    def at_most(self, name: str, measured: float, bound: float) -> None:
        """Check a target that a value must not exceed."""
        self.target(name, measured, bound, met=measured <= bound)

    def _format(self, cell: object) -> str:
        return f'{cell:.3f}' if isinstance(cell, float) else str(cell)
