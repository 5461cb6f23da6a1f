"""Turn a WSGI environment into a checked request."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from hashlib import sha256
from typing import Any
from urllib.parse import quote

import gevent

from marjoramfall.borders.caller_errors import (
    BodyTimeoutError,
    BodyTooLargeError,
    HeadersTooLargeError,
    IncompleteBodyError,
    TierNotAllowedError,
    UnauthorizedError,
    UnknownTierError,
)
from marjoramfall.errors import InvalidRequestError
from marjoramfall.model import Configuration, Team, Tier

Environ = Mapping[str, Any]

HEADER_PREFIX = 'HTTP_'
RAW_PATH = 'marjoramfall.raw_path'
MAX_HEADER_BYTES = 16 * 1024
BODY_TIMEOUT_SECONDS = 30
# Connection headers concern only one hop; the others are set by the entry.
# Encoded bodies are not asked for, because events could not be read and a
# recorded response would lack its encoding.
DROPPED_HEADERS = frozenset(
    (
        'ACCEPT_ENCODING',
        'AUTHORIZATION',
        'CONNECTION',
        'CONTENT_LENGTH',
        'EXPECT',
        'HOST',
        'KEEP_ALIVE',
        'PROXY_AUTHORIZATION',
        'TE',
        'TRAILER',
        'TRANSFER_ENCODING',
        'UPGRADE',
        'X_REQUEST_ID',
        'X_TIER',
    )
)


@dataclass(frozen=True, slots=True)
class Identity:
    """Say who asks and with which rank."""

    team: Team
    tier: Tier


class TeamDirectory:
    """Find the team of a bearer key in the current configuration."""

    def __init__(self) -> None:
        self._configuration: Configuration | None = None
        self._teams_by_hash: dict[str, Team] = {}

    def identify(self, environ: Environ, configuration: Configuration) -> Identity:
        """Return team and tier of the request.

        Raises `UnauthorizedError`, `UnknownTierError` or
        `TierNotAllowedError`.
        """
        self._index(configuration)
        scheme, _, key = environ.get('HTTP_AUTHORIZATION', '').partition(' ')
        digest = sha256(key.strip().encode('latin-1')).hexdigest()
        team = self._teams_by_hash.get(digest)
        if team is None or scheme.lower() != 'bearer':
            raise UnauthorizedError('the bearer key is missing or unknown')
        return Identity(team, _choose_tier(environ, team, configuration))

    def _index(self, configuration: Configuration) -> None:
        if configuration is self._configuration:
            return
        self._teams_by_hash = {
            team.key_sha256: team for team in configuration.teams_by_id.values()
        }
        self._configuration = configuration


def read_body(environ: Environ, max_bytes: int) -> bytes:
    """Return the whole body.

    Raises `BodyTooLargeError`, `BodyTimeoutError` or `IncompleteBodyError`.
    """
    length = _announced_length(environ)
    if length is not None and length > max_bytes:
        raise BodyTooLargeError(f'the body has more than {max_bytes} bytes')
    with gevent.Timeout(BODY_TIMEOUT_SECONDS, BodyTimeoutError('the body is late')):
        body = _read_stream(environ, max_bytes + 1)
    if len(body) > max_bytes:
        raise BodyTooLargeError(f'the body has more than {max_bytes} bytes')
    if length is not None and len(body) != length:
        raise IncompleteBodyError(f'{len(body)} of {length} bytes came')
    return body


def check_headers(environ: Environ) -> None:
    """Raise `HeadersTooLargeError` for headers above the limit."""
    total = sum(
        len(name) + len(value)
        for name, value in environ.items()
        if name.startswith(HEADER_PREFIX)
    )
    if total > MAX_HEADER_BYTES:
        raise HeadersTooLargeError(f'the headers have over {MAX_HEADER_BYTES} bytes')


def forwarded_headers(environ: Environ) -> tuple[tuple[str, str], ...]:
    """Return the headers that the backend server gets."""
    return tuple(_forwarded(environ))


def raw_path(environ: Environ) -> str:
    """Return the path with its escapes and query, as the caller sent it."""
    path = environ.get(RAW_PATH)
    if path is not None:
        return path
    query = environ.get('QUERY_STRING', '')
    path = quote(environ['PATH_INFO'], encoding='latin-1')
    return f'{path}?{query}' if query else path


def _choose_tier(environ: Environ, team: Team, configuration: Configuration) -> Tier:
    own = configuration.tiers_by_id.get(team.tier_id)
    wanted_id = environ.get('HTTP_X_TIER', team.tier_id)
    wanted = configuration.tiers_by_id.get(wanted_id)
    if own is None or wanted is None:
        raise UnknownTierError(f'there is no tier {wanted_id!r}')
    if wanted.rank < own.rank:
        raise TierNotAllowedError(f'the team may not use tier {wanted_id!r}')
    return wanted


def _announced_length(environ: Environ) -> int | None:
    length = environ.get('CONTENT_LENGTH') or ''
    if not length:
        return None
    if not length.isascii() or not length.isdigit():
        raise InvalidRequestError('the content length is no number')
    return int(length)


def _read_stream(environ: Environ, max_bytes: int) -> bytes:
    try:
        return environ['wsgi.input'].read(max_bytes)
    except OSError as error:
        raise IncompleteBodyError(f'the body could not be read: {error}') from error


def _forwarded(environ: Environ) -> Iterator[tuple[str, str]]:
    content_type = environ.get('CONTENT_TYPE')
    if content_type:
        yield 'Content-Type', _checked(content_type)
    for name, value in environ.items():
        short = name.removeprefix(HEADER_PREFIX)
        if name.startswith(HEADER_PREFIX) and short not in DROPPED_HEADERS:
            yield short.replace('_', '-').title(), _checked(value)


def _checked(value: str) -> str:
    if not value.replace('\t', ' ').isprintable():
        raise InvalidRequestError('a header has control characters')
    return value
