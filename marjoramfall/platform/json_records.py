"""Decode JSON that any writer may have left in the store."""

from collections.abc import Iterator
from contextlib import contextmanager
from ipaddress import AddressValueError, IPv4Address
from typing import TypeVar

import msgspec
from loguru import logger

from marjoramfall.gateway.message_bounds import MAX_AMOUNT

Record = TypeVar('Record')
LAST_PORT = 65_535
MAX_SHOWN_CHARS = 20
MAX_SHOWN_ERROR_CHARS = 200


class InvalidRecordError(Exception):
    """Report a record that is malformed or has invalid values."""


@contextmanager
def reading_record() -> Iterator[None]:
    """Raise `InvalidRecordError` in place of any error raised within the block.

    Only a record of another writer can cause one, and it must not end the task that
    reads on.
    """
    try:
        yield
    except InvalidRecordError:
        raise
    except Exception as error:
        raise InvalidRecordError(repr(error)[:MAX_SHOWN_ERROR_CHARS]) from error


@reading_record()
def decode_record(encoded: bytes, record: type[Record]) -> Record:
    """Decode and validate a record; raises `InvalidRecordError`."""
    return msgspec.json.decode(encoded, type=record)


def read_amount(found: object, name: str) -> float:
    """Return an optional amount; one that is none counts as absent and is logged."""
    if found is None:
        return 0
    is_number = isinstance(found, int | float) and not isinstance(found, bool)
    if is_number and 0 <= found <= MAX_AMOUNT:
        return float(found)
    _log_ignored(found, name)
    return 0


def read_names(found: object, name: str) -> frozenset[str]:
    """Return an optional list of names; anything else counts as absent."""
    if found is None:
        return frozenset()
    if isinstance(found, list) and all(isinstance(entry, str) for entry in found):
        return frozenset(found)
    _log_ignored(found, name)
    return frozenset()


def check_address(address: str) -> None:
    """Raise `InvalidRecordError` unless this is an IPv4 address with a port."""
    host, _, port = address.rpartition(':')
    try:
        IPv4Address(host)
    except AddressValueError as error:
        raise InvalidRecordError(f'invalid host: {error}') from error
    is_number = port.isascii() and port.isdecimal() and len(port) <= len(str(LAST_PORT))
    if not is_number or not 1 <= int(port) <= LAST_PORT:
        raise InvalidRecordError(f'invalid port {port[:MAX_SHOWN_CHARS]!r}')


def _log_ignored(found: object, name: str) -> None:
    logger.bind(field=name, found=repr(found)[:MAX_SHOWN_CHARS]).warning(
        'invalid optional field of a record ignored'
    )
