"""Run entries and stand-ins as processes on loopback ports for tests."""

import hashlib
import signal
import subprocess
import sys
import tempfile
import time
from functools import partial
from http.client import HTTPException
from pathlib import Path

import msgspec
import yaml
from geventhttpclient import HTTPClient

from marjoramfall.borders.platform_http import HttpTableService
from marjoramfall.clock import RuntimeClock
from marjoramfall.model import (
    BackendServer,
    Delivery,
    Service,
    ServiceKind,
    Team,
    Tier,
)
from marjoramfall.process.config.changes import (
    PutBackendServer,
    PutService,
    PutTeam,
    PutTier,
)
from marjoramfall.process.config.log import ConfigLog, Submission
from marjoramfall.process.config.state import ConfigState
from marjoramfall_standins.loopback import free_address

ROOT = Path(__file__).resolve().parent.parent
# Waits end as soon as the condition holds; the limit only ends a broken run.
WAIT_LIMIT_S = 30
POLL_S = 0.05
AUTHORIZATION = {'Authorization': 'Bearer caller-key'}


class System:
    """Start a platform, a model engine, a plain service and entries."""

    def __init__(self, entries=2):
        self._directory = tempfile.TemporaryDirectory()
        self._children = {}
        self.platform = free_address()
        self.engine = free_address()
        self.service = free_address()
        self.callers_by_vm = {}
        self.operators_by_vm = {}
        self._settings_by_vm = {}
        try:
            self._start_all(entries)
        except BaseException:
            # The caller gets no object to close.
            self.close()
            raise

    def close(self):
        """End all processes."""
        for child in self._children.values():
            child.kill()
            child.wait()
        self._directory.cleanup()

    def start(self, vm):
        """Start the entry of a VM, as a new incarnation."""
        settings = str(self._settings_by_vm[vm])
        self._spawn(vm, 'marjoramfall', 'entry', '--config', settings)

    def start_again(self, vm):
        """Start an entry a second time; return its status, output and errors."""
        settings = str(self._settings_by_vm[vm])
        ended = subprocess.run(
            [sys.executable, '-m', 'marjoramfall', 'entry', '--config', settings],
            cwd=ROOT,
            capture_output=True,
            timeout=WAIT_LIMIT_S,
            check=False,
        )
        return ended.returncode, ended.stdout, ended.stderr

    def signal(self, vm, number):
        """Send a signal to the entry of a VM."""
        self._children[vm].send_signal(number)

    def kill(self, vm):
        """Kill the entry of a VM."""
        self.signal(vm, signal.SIGKILL)
        self._children[vm].wait()

    def stop(self, vm):
        """Stop an entry as planned; return its exit status."""
        self.signal(vm, signal.SIGTERM)
        return self._children[vm].wait(timeout=WAIT_LIMIT_S)

    def wait_ready(self, vm):
        """Wait until the balancer may use an entry, with all others known."""
        others = len(self.callers_by_vm) - 1
        self.wait(lambda: self.get(self.callers_by_vm[vm], '/readyz')[0] == 200)
        self.wait(lambda: self.metric(vm, 'marjoramfall_members') >= others)

    def metric(self, vm, name):
        """Return the value of a metric without further labels, 0 if missing."""
        body = self.get(self.operators_by_vm[vm], '/metrics')[1].decode()
        found = [line for line in body.splitlines() if line.startswith(f'{name}{{')]
        return float(found[0].rpartition(' ')[2]) if found else 0

    def wait(self, condition):
        """Wait until a condition holds."""
        end_s = time.monotonic() + WAIT_LIMIT_S
        while not condition():
            if time.monotonic() > end_s:
                raise AssertionError('waited in vain')
            time.sleep(POLL_S)

    def get(self, address, path):
        """Return status and body; status 0 if there is no answer."""
        return self.call(address, 'GET', path)

    def call(self, address, method, path, body=None, headers=None):
        """Send one request; status 0 if the connection fails."""
        host, _, port = address.partition(':')
        client = HTTPClient(host, int(port), network_timeout=WAIT_LIMIT_S)
        encoded = b'' if body is None else msgspec.json.encode(body)
        try:
            response = client.request(method, path, encoded, headers or {})
            return response.status_code, response.read()
        except (OSError, HTTPException):
            return 0, b''
        finally:
            client.close()

    def faults(self, address, **faults):
        """Switch faults of a stand-in."""
        status, body = self.call(address, 'POST', '/faults', faults)
        if status != 200:
            raise AssertionError(body)

    def stats(self, address):
        """Return the true counts of a stand-in."""
        return msgspec.json.decode(self.get(address, '/stats')[1])

    def pay(self, vm, key, amount=5):
        """Post a payment through an entry; return status and decoded body."""
        headers = {**AUTHORIZATION, 'Idempotency-Key': key}
        status, body = self.call(
            self.callers_by_vm[vm],
            'POST',
            '/services/payments/post',
            {'amount': amount},
            headers,
        )
        return status, (msgspec.json.decode(body) if body else {})

    def _start_all(self, entries):
        self._standin('platform', 'platform', self.platform)
        self._standin('engine', 'engine', self.engine, '--decode-rate', '200')
        self._standin('payments', 'service', self.service)
        for address in (self.platform, self.engine, self.service):
            self.wait(partial(self._answers, address))
        self._configure()
        for number in range(1, entries + 1):
            self._prepare(f'entry-{number}')
        self._list_vms()
        for vm in self.callers_by_vm:
            self.start(vm)
        for started in self.callers_by_vm:
            self.wait_ready(started)

    def _answers(self, address):
        return self.get(address, '/stats')[0] == 200

    def _configure(self):
        log = ConfigLog(HttpTableService(self.platform), RuntimeClock())
        state = ConfigState()
        key_hash = hashlib.sha256(b'caller-key').hexdigest()
        changes = (
            PutTier(entity=Tier('gold', 0, 20_000)),
            PutTeam(entity=Team('billing', 'gold', key_hash)),
            PutService(
                entity=Service(
                    'drafting', ServiceKind.MODEL, Delivery.IDEMPOTENT, 'drafting-v1'
                )
            ),
            PutService(
                entity=Service(
                    'payments', ServiceKind.PLAIN, Delivery.RUN_ONCE, 'payments-v1'
                )
            ),
            PutBackendServer(
                entity=BackendServer('engine-1', self.engine, 'a', 'drafting-v1')
            ),
            PutBackendServer(
                entity=BackendServer('pay-1', self.service, 'a', 'payments-v1')
            ),
        )
        for number, change in enumerate(changes):
            log.submit(Submission(change, f'setup-{number}', 'test', 0), state)

    def _prepare(self, vm):
        listen = {name: free_address() for name in ('callers', 'operators', 'peers')}
        settings = {
            'vm': vm,
            'data_centre': 'a',
            'listen': listen,
            'platform': {
                'tables': self.platform,
                'objects': self.platform,
                'vms': self.platform,
                'timeout': '5s',
            },
            'shutdown': {'balancer_delay': '100ms'},
        }
        path = Path(self._directory.name) / f'{vm}.yaml'
        path.write_text(yaml.safe_dump(settings))
        self._settings_by_vm[vm] = path
        self.callers_by_vm[vm] = listen['callers']
        self.operators_by_vm[vm] = listen['operators']

    def _list_vms(self):
        entries = [
            self._vm_record(vm, yaml.safe_load(path.read_text())['listen']['peers'])
            for vm, path in self._settings_by_vm.items()
        ]
        self.call(self.platform, 'PUT', '/vms', {'vms': entries})

    def _vm_record(self, vm, address):
        return {
            'vm': vm,
            'address': address,
            'role': 'entry',
            'state': 'live',
            'data_centre': 'a',
        }

    def _standin(self, name, kind, address, *options):
        self._spawn(name, 'marjoramfall_standins', kind, '--listen', address, *options)

    def _spawn(self, name, module, *words):
        self._children[name] = subprocess.Popen(
            [sys.executable, '-m', module, *words],
            cwd=ROOT,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
