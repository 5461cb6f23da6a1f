"""Name the faults of the engine stand-in."""

from marjoramfall_standins.faults import FaultDice, Faults


class EngineFaults(Faults):
    """Set what goes wrong and for which requests.

    `slow_factor` stretches each step. `error_rate` is the share of requests
    that fail with status 500 after they were counted as run. Both apply only
    once `only_after_requests` requests arrived, and only while more than
    `only_above_running` streams run. `only_path` limits errors to one path
    and slowness to steps with a stream of that path.
    `break_after_tokens` closes each connection after so many tokens.
    """

    slow_factor: float = 1
    error_rate: float = 0
    seed: int = 1
    only_path: str = ''
    only_above_running: int = -1
    only_after_requests: int = 0
    load_stale: bool = False
    load_lost: bool = False
    break_after_tokens: int = 0
    leaving: bool = False


class FaultState:
    """Decide whether the faults apply now."""

    def __init__(self, faults: EngineFaults) -> None:
        self.faults = faults
        self.requests = 0
        self._dice = FaultDice()

    def fails(self, path: str, running: int) -> bool:
        """Return whether a new request on a path fails."""
        faults = self.faults
        return self._applies((path,), running) and self._dice.strikes(
            faults.error_rate, faults.seed
        )

    def slow_factor(self, paths: tuple[str, ...], running: int) -> float:
        """Return by how much a step with streams of these paths takes longer."""
        return self.faults.slow_factor if self._applies(paths, running) else 1

    def _applies(self, paths: tuple[str, ...], running: int) -> bool:
        faults = self.faults
        if running <= faults.only_above_running:
            return False
        if self.requests <= faults.only_after_requests:
            return False
        return not faults.only_path or faults.only_path in paths
