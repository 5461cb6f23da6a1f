"""Send requests to the entries at random times."""

import random
import threading
import time
from collections.abc import Callable
from functools import partial

from review.harness3.lab import Answer, EntryProcess, Lab

Sender = Callable[[EntryProcess], Answer]
Rate = Callable[[float], float]


def post_to(lab: Lab, path: str) -> Sender:
    """Return what sends a request to a path."""
    return partial(_post, lab, path)


def constant(rate_per_s: float) -> Rate:
    """Return a rate that does not change."""
    return partial(_always, rate_per_s)


def _post(lab: Lab, path: str, entry: EntryProcess) -> Answer:
    return lab.send(entry, 'POST', path)


def _always(rate_per_s: float, _elapsed_s: float) -> float:
    return rate_per_s


class Load:
    """Send requests at a rate that may change, each on a connection of its own."""

    def __init__(self, lab: Lab, rate_per_s: Rate, send: Sender) -> None:
        self._lab = lab
        self._rate_per_s = rate_per_s
        self._send = send
        self._is_over = threading.Event()
        self._threads: list[threading.Thread] = []
        self.answers: list[Answer] = []
        self.started_s = time.monotonic()
        self._main = threading.Thread(target=self._run, daemon=True)
        self._main.start()

    def end(self) -> None:
        """Send nothing more and wait for all answers."""
        self._is_over.set()
        self._main.join()
        for sending in self._threads:
            sending.join()

    def count_by_status(self) -> dict[int, int]:
        """Return how many answers had each status; 0 is a lost connection."""
        statuses = [answer.status for answer in self.answers]
        return {status: statuses.count(status) for status in sorted(set(statuses))}

    def _run(self) -> None:
        next_s = self.started_s
        while not self._is_over.is_set():
            next_s += random.expovariate(self._rate_per_s(next_s - self.started_s))
            time.sleep(max(0, next_s - time.monotonic()))
            thread = threading.Thread(target=self._send_one, daemon=True)
            thread.start()
            self._threads.append(thread)

    def _send_one(self) -> None:
        self.answers.append(self._send(random.choice(self._lab.entries)))
