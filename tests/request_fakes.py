"""Provide a configuration and fakes of the dispatcher for request tests."""

from hashlib import sha256

from marjoramfall.model import (
    Configuration,
    Delivery,
    Service,
    ServiceKind,
    Team,
    Tier,
)
from marjoramfall.request.grants import GrantClient, HeldGrant, NoBackendServerError
from marjoramfall.request.key_claim import KeyClaims
from marjoramfall.request.parsed_request import ParsedRequest
from marjoramfall.request.request_executor import RetryAllowance

BEARER_KEY = 'class-key'
SERVICES = (
    Service('reviews', ServiceKind.MODEL, Delivery.IDEMPOTENT, 'reviews-1'),
    Service('summaries', ServiceKind.MODEL, Delivery.DISPATCH_ONCE, 'summaries-1'),
    Service('lookups', ServiceKind.PLAIN, Delivery.IDEMPOTENT, 'lookups-1'),
    Service('bookings', ServiceKind.PLAIN, Delivery.DISPATCH_ONCE, 'bookings-1'),
    Service('deposits', ServiceKind.PLAIN, Delivery.RUN_ONCE, 'deposits-1'),
)
CONFIGURATION = Configuration(
    tiers_by_id={
        'gold': Tier('gold', 0, 10_000),
        'bulk': Tier('bulk', 1, 60_000),
    },
    teams_by_id={
        'school': Team('school', 'gold', sha256(BEARER_KEY.encode()).hexdigest()),
        'evening': Team('evening', 'bulk', sha256(b'bulk-key').hexdigest()),
        'lost': Team('lost', 'none', sha256(b'lost-key').hexdigest()),
    },
    services_by_id={service.service_id: service for service in SERVICES},
)


class FakeGrants(GrantClient):
    """Grant the first server that is not excluded, and record every call."""

    def __init__(self, *addresses: str) -> None:
        self.addresses = addresses
        self.grant_requests = []
        self.finished = []
        self.withdrawn = []
        self.confirms = iter(())

    def acquire(self, request):
        self.grant_requests.append(request)
        self.wait()
        free = [a for a in self.addresses if a not in request.excluded_server_ids]
        if not free:
            raise NoBackendServerError('no server is left')
        return HeldGrant(
            request_id=request.request_id,
            service_id=request.service_id,
            server_id=free[0],
            version_id='v1',
            address=free[0],
            expires_ms=1e9,
        )

    def wait(self):
        """Do nothing; tests replace it to delay a grant."""

    def confirm(self, grant):
        return next(self.confirms, True)

    def finish(self, grant, request, result):
        self.finished.append(result)

    def withdraw(self, request):
        self.withdrawn.append(request)


class FakeAllowance(RetryAllowance):
    """Allow a fixed number of retries."""

    def __init__(self, retries: int = 1) -> None:
        self.retries = retries

    def on_request(self, service_id):
        """Do nothing; the number of retries is fixed."""

    def take_retry(self, service_id):
        self.retries -= 1
        return self.retries >= 0


class FakeClaims(KeyClaims):
    """Grant every claim unless `refusal` is set, and record the outcomes."""

    def __init__(self) -> None:
        self.claimed = []
        self.outcomes = []
        self.refusal = None

    def claim(self, scoped_key, claim_id):
        if self.refusal is not None:
            raise self.refusal
        self.claimed.append(scoped_key.key)

    def release(self, scoped_key, claim_id, outcome):
        self.outcomes.append(outcome)


def parsed_request(service_id: str, **changes) -> ParsedRequest:
    """Return a request for a service of the test configuration."""
    fields = {
        'request_id': 'e-1',
        'service': CONFIGURATION.services_by_id[service_id],
        'team_id': 'school',
        'team_weight': 1,
        'tier_rank': 0,
        'deadline_ms': 10_000,
        'method': 'POST',
        'path': '/v1/completions',
        'route': '/v1/completions',
        'idempotency_key': 'key-1',
    }
    return ParsedRequest(**{**fields, **changes})
