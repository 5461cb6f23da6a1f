"""Serve the operator interface by the Connect unary convention."""

import base64
import hashlib
import hmac
from collections.abc import Callable, Iterable, Sequence
from http import HTTPStatus
from types import MappingProxyType
from typing import Any

import msgspec
from google.protobuf import json_format
from google.protobuf.message import DecodeError, Message
from google.protobuf.message_factory import GetMessageClass
from loguru import logger

from marjoramfall.borders.admin_backend import AdminBackend
from marjoramfall.borders.admin_methods import AdminMethods
from marjoramfall.borders.rpc.marjoramfall.v1 import admin_pb2
from marjoramfall.clock import Clock
from marjoramfall.errors import (
    InvalidRequestError,
    MarjoramfallError,
    RefusedError,
)
from marjoramfall.settings.model import OperatorSettings

SERVICE = admin_pb2.DESCRIPTOR.services_by_name['AdminService']
ADMIN_PATH_PREFIX = f'/{SERVICE.full_name}/'
JSON_TYPE = 'application/json'
PROTO_TYPE = 'application/proto'
MAX_BODY_BYTES = 1_048_576
_BEARER = 'Bearer '
# Connect names an error by status; the product's own code is in the detail.
_CONNECT_CODES = MappingProxyType(
    {
        HTTPStatus.BAD_REQUEST: 'invalid_argument',
        HTTPStatus.UNAUTHORIZED: 'unauthenticated',
        HTTPStatus.NOT_FOUND: 'not_found',
        HTTPStatus.CONFLICT: 'aborted',
        HTTPStatus.NOT_IMPLEMENTED: 'unimplemented',
        HTTPStatus.SERVICE_UNAVAILABLE: 'unavailable',
    }
)

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class UnauthenticatedError(RefusedError):
    """Report a call without the bearer token of an operator."""

    code = 'unauthenticated'
    http_status = 401


class UnknownMethodError(RefusedError):
    """Report a call of a method that the schema does not have."""

    code = 'unknown_method'
    http_status = 501


class UnsupportedCallError(RefusedError):
    """Report a call that is not a POST of a supported content type."""

    code = 'unsupported_call'
    http_status = 415


class AdminService:
    """Authenticate, decode and answer calls as a WSGI application."""

    def __init__(
        self,
        backend: AdminBackend,
        operators: Sequence[OperatorSettings],
        clock: Clock,
    ) -> None:
        self._methods = AdminMethods(backend, clock)
        self._operators = tuple(operators)

    def __call__(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request; every failure becomes a Connect error."""
        try:
            content_type, body = self._respond(environ)
        except MarjoramfallError as error:
            return _send_error(error, start_response)
        except Exception:
            logger.exception('admin call failed')
            return _send_error(MarjoramfallError('internal error'), start_response)
        return _send(start_response, HTTPStatus.OK, content_type, body)

    def _respond(self, environ: dict[str, Any]) -> tuple[str, bytes]:
        content_type = _content_type(environ)
        operator = self._authenticate(environ.get('HTTP_AUTHORIZATION', ''))
        name = environ['PATH_INFO'].removeprefix(ADMIN_PATH_PREFIX)
        method = self._methods.methods_by_name.get(name)
        if method is None or name == environ['PATH_INFO']:
            raise UnknownMethodError(f'there is no method {name!r}')
        request = _decode(name, content_type, _read_body(environ))
        response = method(request, operator)
        return content_type, _encode(response, content_type)

    def _authenticate(self, header: str) -> str:
        token = header.removeprefix(_BEARER)
        digest = hashlib.sha256(token.encode('utf-8', 'replace')).hexdigest()
        for operator in self._operators:
            if token != header and hmac.compare_digest(digest, operator.token_sha256):
                return operator.name
        raise UnauthenticatedError('a bearer token of an operator is required')


def _content_type(environ: dict[str, Any]) -> str:
    content_type = environ.get('CONTENT_TYPE', '').split(';')[0].strip().lower()
    if environ['REQUEST_METHOD'] != 'POST':
        raise UnsupportedCallError('only POST is supported')
    if content_type not in {JSON_TYPE, PROTO_TYPE}:
        raise UnsupportedCallError(f'expected {JSON_TYPE} or {PROTO_TYPE}')
    if environ.get('HTTP_CONTENT_ENCODING', 'identity') != 'identity':
        raise UnknownMethodError('compressed requests are not supported')
    return content_type


def _read_body(environ: dict[str, Any]) -> bytes:
    # The server's input ends with the body, also if the body is chunked.
    body = environ['wsgi.input'].read(MAX_BODY_BYTES + 1)
    if len(body) > MAX_BODY_BYTES:
        raise InvalidRequestError(f'the body exceeds {MAX_BODY_BYTES} bytes')
    return body


def _decode(name: str, content_type: str, body: bytes) -> Message:
    request = GetMessageClass(SERVICE.methods_by_name[name].input_type)()
    try:
        if content_type == JSON_TYPE:
            return json_format.Parse(body, request)
        request.ParseFromString(body)
    except (json_format.ParseError, DecodeError, ValueError) as error:
        raise InvalidRequestError(f'unreadable request: {error}') from error
    return request


def _encode(response: Message, content_type: str) -> bytes:
    if content_type == PROTO_TYPE:
        return response.SerializeToString()
    text = json_format.MessageToJson(
        response, indent=None, always_print_fields_with_no_presence=True
    )
    return text.encode()


def _send_error(
    error: MarjoramfallError, start_response: StartResponse
) -> Iterable[bytes]:
    status = HTTPStatus(error.http_status)
    detail = admin_pb2.ErrorDetail(
        code=error.code, run_state=error.actual_run_state.value
    )
    value = base64.b64encode(detail.SerializeToString()).rstrip(b'=').decode()
    body = {
        'code': _CONNECT_CODES.get(status, 'internal'),
        'message': error.message,
        'details': [
            {
                'type': detail.DESCRIPTOR.full_name,
                'value': value,
                'debug': json_format.MessageToDict(detail),
            },
        ],
    }
    return _send(start_response, status, JSON_TYPE, msgspec.json.encode(body))


def _send(
    start_response: StartResponse,
    status: HTTPStatus,
    content_type: str,
    body: bytes,
) -> Iterable[bytes]:
    headers = [
        ('Content-Type', content_type),
        ('Content-Length', str(len(body))),
    ]
    start_response(f'{status.value} {status.phrase}', headers)
    return [body]
