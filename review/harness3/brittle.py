"""Stand in for an engine that may become brittle."""

import threading
import time
from collections import deque

from review.harness3.engine import Engine, EngineDownError, Reply
from review.harness3.wire import Message

REJECTION_WINDOW_S = 1.0


class BrittleEngine(Engine):
    """Run a few requests at once, let some wait and reject the others.

    While it is brittle it says so in all its answers. `contact_s` later it lets
    fewer wait, and falls over if it has to reject more than `bears` requests in a
    second. It is back `down_s` later.
    """

    slots = 6
    usual_queue = 24
    brittle_queue = 1
    bears = 3
    contact_s = 3.0
    down_s = 3.0

    def __init__(self, engine_id: str, *, service: str, work_s: float) -> None:
        self._lock = threading.Lock()
        self._work_s = work_s
        self._free_slots = threading.Semaphore(self.slots)
        self._held = 0
        self._starts = 0
        self._rejected_s: deque[float] = deque()
        self.brittle_since_s: float | None = None
        self.falls_s: list[float] = []
        self.rejections = 0
        super().__init__(engine_id, self._work, service=service)

    def run(self, request: Message) -> bytes:
        """Work on a request once a slot is free, or reject it."""
        start = self._starts
        if not self._enter():
            headers = {'Marjoramfall-Not-Executed': 1, **self._notices()}
            return self.respond(request, 503, headers)
        with self._free_slots:
            answer = super().run(request)
        with self._lock:
            if start != self._starts:
                raise EngineDownError('the engine fell over meanwhile')
            self._held -= 1
        return answer

    def respond(
        self,
        request: Message,
        status: int,
        headers: dict[str, object],
        body: bytes = b'',
    ) -> bytes:
        """Return an encoded response with what the engine says of itself."""
        return super().respond(request, status, {**headers, **self._notices()}, body)

    def _work(self, _request: Message) -> Reply:
        return Reply(delay_s=self._work_s)

    def _notices(self) -> dict[str, object]:
        if self.brittle_since_s is None:
            return {}
        return {'Server-Brittle': self.bears}

    def _may_fall(self, now_s: float) -> bool:
        since_s = self.brittle_since_s
        return since_s is not None and now_s >= since_s + self.contact_s

    def _enter(self) -> bool:
        """Return whether there is room for a request."""
        now_s = time.monotonic()
        with self._lock:
            may_fall = self._may_fall(now_s)
            queue = self.brittle_queue if may_fall else self.usual_queue
            if self._held < self.slots + queue:
                self._held += 1
                return True
            self._count_rejection(now_s)
            if may_fall and len(self._rejected_s) > self.bears:
                self._fall(now_s)
        return False

    def _count_rejection(self, now_s: float) -> None:
        self.rejections += 1
        self._rejected_s.append(now_s)
        while self._rejected_s[0] < now_s - REJECTION_WINDOW_S:
            self._rejected_s.popleft()

    def _fall(self, now_s: float) -> None:
        self.falls_s.append(now_s)
        self._starts += 1
        self._held = 0
        self._rejected_s.clear()
        self._free_slots = threading.Semaphore(self.slots)
        threading.Thread(target=self._be_down, daemon=True).start()
        raise EngineDownError('the engine falls over')

    def _be_down(self) -> None:
        self.crash()
        time.sleep(self.down_s)
        self.start_again()
