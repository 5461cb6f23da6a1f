import unittest
from http.client import HTTPException

import gevent
import msgspec
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPConnectionClosed

from marjoramfall.clock import RuntimeClock
from marjoramfall.replay.expected import expected_text
from marjoramfall_standins.engine.app import EngineOptions, EngineStandin
from marjoramfall_standins.engine.batch import EngineSpeed
from marjoramfall_standins.engine.faults import EngineFaults
from marjoramfall_standins.http import NoDelayServer
from marjoramfall_standins.platform import PlatformStandin

FAST = EngineSpeed(prefill_tokens_per_s=1_000_000, decode_tokens_per_s=1000)
PROMPT = 'explain the meter reading'
WAIT_S = 10  # only bounds a failing test


class _Server:
    def __init__(self, application):
        self._server = NoDelayServer('127.0.0.1:0', application)
        self._server.start()
        self.client = HTTPClient('127.0.0.1', self._server.server_port, concurrency=9)

    def stop(self):
        self.client.close()
        self._server.stop(timeout=0)

    def post(self, path, body, **headers):
        names = {name.replace('_', '-'): text for name, text in headers.items()}
        return self.client.post(path, body=msgspec.json.encode(body), headers=names)

    def read(self, path):
        return msgspec.json.decode(self.client.get(path).read())


class EngineHttpTest(unittest.TestCase):
    """Check the engine's streams, cancels and orders over HTTP."""

    def start_engine(self, *, checks_fencing=False):
        options = EngineOptions(
            version='v1',
            vm='vm-1',
            speed=FAST,
            checks_fencing=checks_fencing,
            resume_grace_ms=1,
        )
        engine = EngineStandin(RuntimeClock(), options, EngineFaults())
        engine.start()
        server = _Server(engine)
        self.addCleanup(server.stop)
        return server

    def complete(self, engine, *, tokens):
        body = {'prompt': PROMPT, 'max_tokens': tokens, 'stream': True}
        return engine.post('/v1/completions', body, X_Request_Id='r1')

    def test_resume_after_break(self):
        """Guards against tokens lost or repeated where a stream is resumed."""
        engine = self.start_engine()
        self.complete(engine, tokens=5).read()
        engine.post('/faults', {'break_after_tokens': 2}).read()
        events = []
        headers = {}
        while not events or events[-1] != 'data: [DONE]':
            received = _read_broken(engine.client.get('/v1/streams/r1', headers))
            events.extend(received.strip().split('\n\n'))
            last_id = events[-1].split('\n')[0].removeprefix('id: ')
            headers = {'Last-Event-ID': last_id}
        chunks = [
            msgspec.json.decode(event.split('data: ')[1]) for event in events[:-1]
        ]
        text = ''.join(chunk['choices'][0]['text'] for chunk in chunks)
        self.assertEqual(text, expected_text(PROMPT, 'r1', 5))

    def test_closed_connection_cancels(self):
        """Guards against an engine that works for a caller who went away."""
        engine = self.start_engine()
        response = self.complete(engine, tokens=100_000)
        response.read(1)
        response._sock.close()
        with gevent.Timeout(WAIT_S):
            while not engine.read('/stats')['counts'].get('cancelled'):
                gevent.sleep(0.01)
        self.assertEqual(engine.client.get('/v1/streams/r1').status_code, 404)

    def test_outdated_fencing_token(self):
        """Guards against a stand-in that checks tokens when told to ignore them."""
        for checks_fencing, status in ((True, 409), (False, 200)):
            engine = self.start_engine(checks_fencing=checks_fencing)
            engine.post('/orders', {'order': 'load', 'fencing': 2}).read()
            late = engine.post('/orders', {'order': 'load', 'fencing': 1})
            self.assertEqual(late.status_code, status)

    def test_leaving(self):
        """Guards against a leaving engine that runs what it refused."""
        engine = self.start_engine()
        engine.post('/faults', {'leaving': True}).read()
        refused = self.complete(engine, tokens=1)
        self.assertEqual((refused.status_code, refused['Connection']), (503, 'close'))
        self.assertEqual(engine.read('/stats')['runs_by_id'], {})


class PlatformHttpTest(unittest.TestCase):
    """Check the platform's faults over HTTP."""

    def setUp(self):
        platform = PlatformStandin(RuntimeClock(), write_rate=1e6, read_rate=1e6)
        self.server = _Server(platform)
        self.addCleanup(self.server.stop)

    def write(self, value):
        row = {'table': 'config', 'key': 'head', 'value': value}
        return self.server.post('/tables/transact', {'writes': [row]})

    def test_lost_response(self):
        """Guards against a lost response whose write took no effect."""
        self.server.post('/faults', {'lose_writes': 1}).read()
        with self.assertRaises(HTTPConnectionClosed):
            self.write(1)
        self.assertEqual(self.server.read('/tables/config/head')['value'], 1)
        self.assertEqual(self.write(2).status_code, 200)

    def test_stale_reads(self):
        """Guards against a snapshot that follows later writes."""
        self.write(1).read()
        self.server.post('/faults', {'stale_reads': True}).read()
        self.write(2).read()
        self.assertEqual(self.server.read('/tables/config/head')['value'], 1)
        self.server.post('/faults', {'stale_reads': False}).read()
        self.assertEqual(self.server.read('/tables/config/head')['value'], 2)


def _read_broken(response):
    parts = []
    try:
        while part := response.read(1):
            parts.append(part)
    except (OSError, HTTPException):
        pass
    return b''.join(parts).decode()
