"""Build requests for the request path from what callers sent."""

from dataclasses import dataclass

from marjoramfall.borders.caller_bodies import ModelBody, decode_body
from marjoramfall.borders.caller_errors import UnknownServiceError
from marjoramfall.borders.caller_parsing import Environ, Identity, forwarded_headers
from marjoramfall.clock import Clock
from marjoramfall.errors import InvalidRequestError
from marjoramfall.model import Configuration, Service, ServiceKind
from marjoramfall.request.parsed_request import ParsedRequest
from marjoramfall.request.prompt import estimate_tokens, prefix_hashes
from marjoramfall.request.record import RequestRecord

DOT_SEGMENTS = frozenset(('.', '..', '%2e', '%2e%2e', '.%2e', '%2e.'))


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """Hold a request whose body was read but not yet interpreted."""

    record: RequestRecord
    identity: Identity
    environ: Environ
    body: bytes
    path: str


class RequestBuilder:
    """Check a request against the configuration and estimate its work."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock

    def model_request(
        self, caller: CallerRequest, kind: type[ModelBody], configuration: Configuration
    ) -> tuple[ParsedRequest, bool]:
        """Return the request and whether its response is a stream.

        Raises `InvalidRequestError` or `UnknownServiceError`.
        """
        body = decode_body(caller.body, kind)
        service = find_service(configuration, body.model, ServiceKind.MODEL)
        prompt = body.full_prompt
        parsed = self._parsed(
            caller,
            service,
            route=caller.path,
            prefill_tokens=estimate_tokens(prompt),
            decode_tokens=body.max_tokens,
            prefix_hashes=prefix_hashes(prompt),
        )
        return parsed, body.stream

    def plain_request(
        self, caller: CallerRequest, configuration: Configuration
    ) -> ParsedRequest:
        """Return a call of a plain service; its path lacks the service id.

        Raises `InvalidRequestError` or `UnknownServiceError`.
        """
        service_id, _, path = caller.path.removeprefix('/services/').partition('/')
        service = find_service(configuration, service_id, ServiceKind.PLAIN)
        segments = path.partition('?')[0].split('/')
        if not DOT_SEGMENTS.isdisjoint(segment.lower() for segment in segments):
            raise InvalidRequestError('the path has dot segments')
        return self._parsed(caller, service, path=f'/{path}', route=segments[0])

    def _parsed(
        self, caller: CallerRequest, service: Service, **details: object
    ) -> ParsedRequest:
        identity = caller.identity
        caller.record.service_id = service.service_id
        return ParsedRequest(
            request_id=caller.record.request_id,
            service=service,
            team_id=identity.team.team_id,
            team_weight=identity.team.weight,
            tier_rank=identity.tier.rank,
            deadline_ms=self._clock.monotonic_ms() + identity.tier.deadline_ms,
            method=caller.environ['REQUEST_METHOD'],
            headers=forwarded_headers(caller.environ),
            body=caller.body,
            idempotency_key=caller.environ.get('HTTP_IDEMPOTENCY_KEY'),
            **{'path': caller.path, **details},
        )


def find_service(
    configuration: Configuration, service_id: str, kind: ServiceKind
) -> Service:
    """Return a service of the kind; raises `UnknownServiceError`."""
    service = configuration.services_by_id.get(service_id)
    if service is None or service.kind is not kind:
        raise UnknownServiceError(f'there is no {kind} service {service_id!r}')
    return service
