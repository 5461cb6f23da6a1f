"""Validate a document against a pydantic model and name every fault."""

import re
from difflib import get_close_matches
from types import MappingProxyType
from typing import Any, TypeVar, get_args

from pydantic import BaseModel, ValidationError

from marjoramfall.settings.document import (
    Document,
    DocumentError,
    DocumentFault,
    DocumentPath,
)
from marjoramfall.settings.model import DURATION, PORT_PATTERN, SIZE

Model = TypeVar('Model', bound=BaseModel)

# Values of such keys are not repeated, since they end up in terminals and logs.
SECRET = re.compile('key|token')
_CODES = MappingProxyType(
    {
        'missing': 'missing_key',
        'extra_forbidden': 'unknown_key',
        'value_error': 'invalid_value',
        'enum': 'invalid_value',
        'string_pattern_mismatch': 'invalid_format',
        'greater_than_equal': 'out_of_range',
        'less_than_equal': 'out_of_range',
        'int_parsing_size': 'out_of_range',
    }
)
_VALID_BY_PATTERN = MappingProxyType(
    {
        PORT_PATTERN: 'an address IP:port such as 10.0.0.1:8080',
        '^[0-9a-f]{64}$': '64 lower-case hexadecimal digits (SHA-256)',
        '^[a-z0-9][a-z0-9-]{0,62}$': '1 to 63 lower-case letters, digits or hyphens',
    }
)


def validate_document(document: Document, model: type[Model]) -> Model:
    """Return the content as a model; raises `DocumentError`."""
    faults = document.duplicate_faults()
    try:
        checked = model.model_validate(document.content)
    except ValidationError as error:
        faults.extend(
            document.fault(
                found['loc'],
                _CODES.get(found['type'], 'wrong_type'),
                _problem(found),
                _valid(found, model),
            )
            for found in error.errors(include_url=False)
        )
        raise DocumentError(faults) from error
    if faults:
        raise DocumentError(faults)
    return checked


def repeated_value_faults(
    document: Document, places: list[tuple[DocumentPath, str]]
) -> list[DocumentFault]:
    """Return a fault for each place whose value an earlier place has."""
    seen: set[str] = set()
    faults = []
    for path, text in places:
        if text in seen:
            faults.append(
                document.fault(
                    path,
                    'repeated_value',
                    f'{text!r} is used before',
                    'a value of its own',
                )
            )
        seen.add(text)
    return faults


def _problem(found: dict[str, Any]) -> str:
    if found['type'] == 'missing':
        return 'the key is missing'
    if found['type'] == 'extra_forbidden':
        return 'the key is unknown'
    name = str(found['loc'][-1]) if found['loc'] else ''
    written = found['input']
    if not isinstance(written, str) or SECRET.search(name):
        return 'the value is not valid'
    return f'{written!r} is not valid'


def _valid(found: dict[str, Any], root: type[BaseModel]) -> str:
    context = found.get('ctx', {})
    if found['type'] == 'extra_forbidden':
        return _valid_keys(found['loc'], root)
    if found['type'] == 'missing':
        return f'a value for {found["loc"][-1]}'
    if found['type'] == 'value_error':
        return str(context['error'])
    pattern = context.get('pattern')
    if pattern is not None:
        return _VALID_BY_PATTERN.get(pattern, pattern)
    unit = _unit(str(found['input']))
    least = context.get('ge')
    most = context.get('le')
    if least is None and most is None:
        return found['msg']
    return f'at most {most}{unit}' if least is None else f'at least {least}{unit}'


def _unit(written: str) -> str:
    if DURATION.fullmatch(written):
        return 'ms'
    return 'B' if SIZE.fullmatch(written) else ''


def _valid_keys(path: DocumentPath, root: type[BaseModel]) -> str:
    model = root
    for part in path[:-1]:
        if isinstance(part, str):
            annotation = model.model_fields[part].annotation
            model = next(iter(get_args(annotation)), annotation)
    names = sorted(model.model_fields)
    close = get_close_matches(str(path[-1]), names, n=1)
    suggestion = f' (did you mean {close[0]}?)' if close else ''
    return f'{", ".join(names)}{suggestion}'
