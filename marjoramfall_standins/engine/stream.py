"""Hold the progress of one request in the engine."""

from enum import StrEnum

from gevent.event import Event

from marjoramfall.replay.expected import count_tokens, expected_token
from marjoramfall_standins.engine.prompt import BLOCK_TOKENS, block_hashes


class StreamState(StrEnum):
    """Say where a stream is in its life."""

    WAITING = 'waiting'
    RUNNING = 'running'
    DONE = 'done'
    CANCELLED = 'cancelled'


class Stream:
    """Hold a request's prompt, its progress and those who read it."""

    def __init__(
        self, *, request_id: str, path: str, model: str, prompt: str, max_tokens: int
    ) -> None:
        self.request_id = request_id
        self.path = path
        self.model = model
        self.blocks = block_hashes(prompt)
        self.prompt_tokens = count_tokens(prompt)
        self.max_tokens = max_tokens
        self.state = StreamState.WAITING
        self.cached_tokens = 0
        self.computed_tokens = 0
        self.emitted = 0
        self.readers = 0
        self._prompt = prompt
        self._progress = Event()

    @property
    def remaining_prefill(self) -> int:
        """Return the prompt tokens that are neither cached nor computed."""
        return self.prompt_tokens - self.cached_tokens - self.computed_tokens

    @property
    def ended(self) -> bool:
        """Return whether the stream makes no more progress."""
        return self.state in {StreamState.DONE, StreamState.CANCELLED}

    def start(self, cached_blocks: int) -> None:
        """Begin to run; at least one token is computed even if all is cached."""
        self.state = StreamState.RUNNING
        self.cached_tokens = min(cached_blocks * BLOCK_TOKENS, self.prompt_tokens - 1)

    def emit(self) -> None:
        """Produce the next token."""
        self.emitted += 1
        if self.emitted >= self.max_tokens:
            self.state = StreamState.DONE
        self._notify()

    def cancel(self) -> None:
        """End the stream without producing the rest."""
        self.state = StreamState.CANCELLED
        self._notify()

    def token(self, index: int) -> str:
        """Return the text of a token."""
        return expected_token(self._prompt, self.request_id, index)

    def wait(self, timeout_s: float) -> None:
        """Wait until there is progress, at most `timeout_s` seconds."""
        self._progress.wait(timeout_s)

    def _notify(self) -> None:
        # Each reader waits on the event of its own round, so that one reader
        # cannot clear an event that another has not seen.
        progress = self._progress
        self._progress = Event()
        progress.set()
