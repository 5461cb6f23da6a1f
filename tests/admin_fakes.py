"""Provide an entry's operator interface without a daemon."""

import hashlib
import io
import json

from marjoramfall.borders.admin_backend import AdminBackend, EntryStatus, MemberStatus
from marjoramfall.borders.admin_service import ADMIN_PATH_PREFIX, AdminService
from marjoramfall.clock import PausedClock
from marjoramfall.process.config.log import ConfigLog
from marjoramfall.process.config.replication import Confirmation
from marjoramfall.process.config.state import ConfigState, RecordCodec
from marjoramfall.settings.model import OperatorSettings
from tests.fakes import FakeTableService

TOKEN = 'a-token'


class FakeBackend(AdminBackend):
    """Apply changes over a fake table service; `lagging` never confirms."""

    def __init__(self):
        self.clock = PausedClock()
        self.tables = FakeTableService()
        self.state = ConfigState()
        self.lagging = ()
        self._log = ConfigLog(self.tables, self.clock)

    def configuration(self):
        """Return the applied configuration."""
        return self.state.configuration

    def submit(self, submission):
        """Write and apply a change."""
        written = self._log.submit(submission, self.state)
        self.state.apply_records(written.revision, [written.text])
        return written

    def confirmation(self, revision):
        """Return the lagging entries as unconfirmed."""
        return Confirmation(revision, not self.lagging, self.lagging)

    def audit(self, *, after_revision, limit):
        """Return records of the log."""
        tail = self._log.read_tail(after_revision, limit=limit)
        return [RecordCodec.decode(text) for text in tail.texts]

    def status(self):
        """Return one member."""
        member = MemberStatus('vm-1.0.a', '127.0.0.1:1', 'live', 1)
        return EntryStatus('vm-1.0.a', ready=True, members=(member,))


def make_service(backend):
    """Return the service with one operator named ada."""
    digest = hashlib.sha256(TOKEN.encode()).hexdigest()
    operator = OperatorSettings(name='ada', token_sha256=digest)
    return AdminService(backend, [operator], backend.clock)


def call(service, method, body, *, token=TOKEN, content_type='application/json'):
    """Call a method in process; return the status and the body."""
    sent = body if isinstance(body, bytes) else json.dumps(body).encode()
    environ = {
        'REQUEST_METHOD': 'POST',
        'PATH_INFO': f'{ADMIN_PATH_PREFIX}{method}',
        'CONTENT_TYPE': content_type,
        'HTTP_AUTHORIZATION': f'Bearer {token}',
        'wsgi.input': io.BytesIO(sent),
    }
    statuses = []
    parts = service(environ, lambda status, headers: statuses.append(status))
    answer = b''.join(parts)
    if content_type == 'application/json' or not statuses[0].startswith('200'):
        answer = json.loads(answer)
    return int(statuses[0][:3]), answer
