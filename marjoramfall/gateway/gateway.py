"""Admit callers' requests, answer them and record how they ended."""

import msgspec
from loguru import logger

from marjoramfall.clock import Clock
from marjoramfall.gateway.callers.call import Call, CallFields, Delegation
from marjoramfall.gateway.callers.caller_connection import RequestHandler
from marjoramfall.gateway.callers.response_writer import (
    CallerGoneError,
    EntryStopsError,
    ResponseWriter,
)
from marjoramfall.gateway.callers.usual_timeouts import UsualTimeouts
from marjoramfall.gateway.delegation.messages import failure_headers
from marjoramfall.gateway.dialect import Dialect
from marjoramfall.gateway.forwarder import Forwarder
from marjoramfall.gateway.homes import Homes
from marjoramfall.gateway.http_messages import BadMessageError, RequestHead
from marjoramfall.gateway.metrics import GatewayMetrics
from marjoramfall.gateway.model import CallerLimits, Configuration, Route, Team
from marjoramfall.gateway.peers.peer_table import PeerTable
from marjoramfall.gateway.registry import Registry
from marjoramfall.gateway.servers.outcome import GatewayFailureError
from marjoramfall.gateway.shared_limit import SharedLimit
from marjoramfall.gateway.shared_limits import SharedLimits
from marjoramfall.gateway.weighted_choice import pick_weighted

BAD_REQUEST = 400
UNAUTHORIZED = 401
NOT_FOUND = 404
TOO_MANY_REQUESTS = 429
BAD_GATEWAY = 502
UNAVAILABLE = 503
NOT_CONFIGURED_RETRY_AFTER_MS = 300.0
# Other entries serve, so that the caller may retry there almost at once.
STOPPING_RETRY_AFTER_MS = 20.0
MAX_RETRY_AFTER_SHARE = 1 / 3


class Gateway(RequestHandler):
    """Check each request against routes and limits and forward it."""

    def __init__(
        self,
        registry: Registry,
        limits: SharedLimits,
        peers: PeerTable,
        forwarder: Forwarder,
        dialect: Dialect,
        metrics: GatewayMetrics,
        clock: Clock,
        *,
        homes: Homes,
    ) -> None:
        self._registry = registry
        self._limits = limits
        self._peers = peers
        self._forwarder = forwarder
        self._dialect = dialect
        self._metrics = metrics
        self._clock = clock
        self._homes = homes
        self._timeouts = UsualTimeouts()
        self.stopping = False
        self._latest_deadline_ms = float('inf')
        self.in_flight = 0

    def is_stopping(self) -> bool:
        """Return whether the process is about to stop."""
        return self.stopping

    def set_latest_deadline(self, latest_deadline_ms: float) -> None:
        """Reject requests whose deadline is after this monotonic time."""
        self._latest_deadline_ms = latest_deadline_ms

    def limits(self) -> CallerLimits:
        """Return the limits of the configuration in force."""
        config = self._registry.config
        return CallerLimits() if config is None else config.limits

    def handle(self, head: RequestHead, body: bytes, writer: ResponseWriter) -> None:
        """Answer one request, with 502 if the gateway itself fails."""
        self._answer(head, body, writer, None)

    def handle_delegated(
        self,
        head: RequestHead,
        body: bytes,
        writer: ResponseWriter,
        delegation: Delegation,
    ) -> None:
        """Answer a request that a peer has accepted from its caller."""
        self._answer(head, body, writer, delegation)

    def _answer(
        self,
        head: RequestHead,
        body: bytes,
        writer: ResponseWriter,
        delegation: Delegation | None,
    ) -> None:
        received_ms = self._clock.monotonic_ms()
        self.in_flight += 1
        try:
            self._handle(head, body, writer, received_ms, delegation)
        except CallerGoneError:
            raise
        except Exception:
            logger.exception('unhandled exception while serving a request')
            self._send_failure(
                writer,
                '',
                GatewayFailureError(BAD_GATEWAY, 'internal fault'),
                is_delegated=delegation is not None,
            )
        finally:
            self.in_flight -= 1

    def _handle(
        self,
        head: RequestHead,
        body: bytes,
        writer: ResponseWriter,
        received_ms: float,
        delegation: Delegation | None,
    ) -> None:
        try:
            fields = self._dialect.read_fields(head)
        except BadMessageError as error:
            writer.announce_close()
            self._send_failure(writer, '', GatewayFailureError(BAD_REQUEST, str(error)))
            return
        call: Call | None = None
        ending = 'left'
        try:
            call = self._admit(head, body, fields, received_ms, delegation)
            self._check_deadline(call)
            ending = self._serve(call, writer)
        except GatewayFailureError as failure:
            ending = self._refuse(call, fields, writer, delegation, failure)
        except EntryStopsError:
            failure = _failure_at_exit(call)
            ending = self._refuse(call, fields, writer, delegation, failure)
        finally:
            self._record_end(fields, call, writer, ending, received_ms)

    def _refuse(
        self,
        call: Call | None,
        fields: CallFields,
        writer: ResponseWriter,
        delegation: Delegation | None,
        failure: GatewayFailureError,
    ) -> str:
        if call is not None and failure.status == UNAVAILABLE:
            self._metrics.count_refusal(
                route=call.route.name, has_returned=call.has_returned
            )
        self._send_failure(
            writer,
            fields.attempt_id,
            self._cap_retry_after(failure, call),
            is_delegated=delegation is not None,
        )
        return failure.code

    def _check_deadline(self, call: Call) -> None:
        if call.deadline_ms > self._latest_deadline_ms:
            raise GatewayFailureError(
                UNAVAILABLE,
                'stopping',
                retry_after_ms=STOPPING_RETRY_AFTER_MS,
                is_elsewhere=True,
            )

    def _serve(self, call: Call, writer: ResponseWriter) -> str:
        # The entry that accepted a delegated request has counted it.
        limit = None if call.is_delegated else self._limits.find(call.team)
        if limit is None:
            return self._forwarder.forward(call, writer)
        limit.refill(self._clock.monotonic_ms(), self._peers.unresponsive_share())
        if not limit.try_use(call.quota_cost):
            _log_limit(call, limit)
            raise GatewayFailureError(
                TOO_MANY_REQUESTS,
                'limit of the team reached',
                retry_after_ms=limit.wait_ms(),
            )
        try:
            return self._forwarder.forward(call, writer)
        except GatewayFailureError as failure:
            # A 503 states that the request did not run.
            if failure.status == UNAVAILABLE:
                limit.refund(call.quota_cost)
            raise

    def _admit(
        self,
        head: RequestHead,
        body: bytes,
        fields: CallFields,
        received_ms: float,
        delegation: Delegation | None,
    ) -> Call:
        config = self._registry.config
        known_elsewhere = delegation.config_version if delegation else 0
        if config is None or config.version < known_elsewhere:
            raise GatewayFailureError(
                UNAVAILABLE,
                'not configured yet',
                retry_after_ms=NOT_CONFIGURED_RETRY_AFTER_MS,
                is_elsewhere=True,
            )
        route = config.find_route(fields.host, fields.path)
        if route is None:
            raise GatewayFailureError(NOT_FOUND, 'no route')
        team = _find_team(config, route, fields)
        timeout_ms = route.timeout_ms
        if fields.caller_timeout_ms is not None:
            timeout_ms = min(timeout_ms, fields.caller_timeout_ms)
        return Call(
            head=head,
            body=body,
            fields=fields,
            received_ms=received_ms,
            route=route,
            team=team,
            service_id=_choose_service(route, delegation),
            config_version=config.version,
            deadline_ms=received_ms + timeout_ms,
            last_event_id=fields.last_event_id,
            delegation=delegation,
            home_regions=self._homes.find(route, team),
            usual_timeout_ms=self._usual_timeout_ms(
                route, team, timeout_ms, delegation
            ),
        )

    def _usual_timeout_ms(
        self,
        route: Route,
        team: Team | None,
        timeout_ms: float,
        delegation: Delegation | None,
    ) -> float | None:
        """Return how long callers wait, None if a peer has used a part of it."""
        if delegation is not None:
            return None
        return self._timeouts.observe(route.name, team.name if team else '', timeout_ms)

    def _current_config_version(self) -> int:
        config = self._registry.config
        return 0 if config is None else config.version

    def _cap_retry_after(
        self, failure: GatewayFailureError, call: Call | None
    ) -> GatewayFailureError:
        """Limit Retry-After to the share of the remaining time that callers honour."""
        if call is not None and failure.retry_after_ms is not None:
            remaining_ms = call.remaining_ms(self._clock.monotonic_ms())
            max_retry_after_ms = max(0, remaining_ms) * MAX_RETRY_AFTER_SHARE
            failure.retry_after_ms = min(failure.retry_after_ms, max_retry_after_ms)
        return failure

    def _send_failure(
        self,
        writer: ResponseWriter,
        attempt_id: str,
        failure: GatewayFailureError,
        *,
        is_delegated: bool = False,
    ) -> None:
        if writer.has_begun:
            return
        headers = self._dialect.rejection_headers(attempt_id, failure.retry_after_ms)
        headers.append((b'content-type', b'application/json'))
        if is_delegated:
            headers.extend(
                failure_headers(failure.code, is_elsewhere=failure.is_elsewhere)
            )
        body = msgspec.json.encode({'error': failure.code})
        writer.send_response(failure.status, headers, body)

    def _record_end(
        self,
        fields: CallFields,
        call: Call | None,
        writer: ResponseWriter,
        ending: str,
        received_ms: float,
    ) -> None:
        now_ms = self._clock.monotonic_ms()
        total_ms = now_ms - received_ms
        first_ms = None
        if call is not None and call.first_byte_ms is not None:
            first_ms = round(call.first_byte_ms - received_ms, 1)
        route = call.route.name if call else ''
        logger.bind(
            request=fields.attempt_id,
            route=route,
            service=call.service_id if call else '',
            team=call.team.name if call and call.team else '',
            config_version=call.config_version
            if call
            else self._current_config_version(),
            status=writer.status,
            ending=str(ending),
            is_delegated=call.is_delegated if call else False,
            delegates=sorted(call.tried_delegates) if call else [],
            sends=call.sends if call else 0,
            runs=call.runs if call else 0,
            first_ms=first_ms,
            total_ms=round(total_ms, 1),
            tokens=[fields.prompt_tokens, fields.likely_output_tokens],
        ).info('request ended')
        self._metrics.count_request(
            route=route,
            status=writer.status,
            ending=str(ending),
            seconds=total_ms / 1000,
        )
        if call is not None and call.sends:
            self._metrics.count_sends(
                call.service_id, home=call.sends - call.sends_away, away=call.sends_away
            )


def _find_team(config: Configuration, route: Route, fields: CallFields) -> Team | None:
    team = config.team_by_key.get(fields.api_key or '')
    if team is None and config.team_by_name and not route.is_public:
        raise GatewayFailureError(UNAUTHORIZED, 'unknown key')
    return team


def _failure_at_exit(call: Call | None) -> GatewayFailureError:
    """Return the answer to a request that is unfinished when the process exits."""
    if call is None or not call.runs:
        return GatewayFailureError(
            UNAVAILABLE,
            'stopped',
            retry_after_ms=STOPPING_RETRY_AFTER_MS,
            is_elsewhere=True,
        )
    return GatewayFailureError(BAD_GATEWAY, 'stopped')


def _log_limit(call: Call, limit: SharedLimit) -> None:
    logger.bind(
        request=call.fields.attempt_id,
        team=limit.rule.name,
        asked=call.quota_cost,
        available=round(limit.available),
        rate_per_s=limit.rule.rate_per_s,
        silent_share=round(limit.reserved_share, 2),
        config_version=call.config_version,
    ).warning('team limit reached')


def _choose_service(route: Route, delegation: Delegation | None) -> str:
    """Return the service of a new request, or the one that a peer has chosen."""
    if delegation is not None:
        service_ids = {service.service_id for service in route.services}
        if delegation.service_id in service_ids:
            return delegation.service_id
    if len(route.services) == 1:
        return route.services[0].service_id
    index = pick_weighted([service.weight for service in route.services])
    return route.services[index].service_id
