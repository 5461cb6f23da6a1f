"""Load the settings file of an entry."""

from collections.abc import Iterator
from difflib import get_close_matches
from pathlib import Path
from types import MappingProxyType
from typing import Any

from pydantic import BaseModel, ValidationError

from marjoramfall.settings.document import (
    Document,
    DocumentError,
    DocumentFault,
    DocumentPath,
)
from marjoramfall.settings.model import (
    DURATION,
    PORT_PATTERN,
    SIZE,
    EntrySettings,
    OperatorSettings,
)

_CODES = MappingProxyType(
    {
        'missing': 'missing_key',
        'extra_forbidden': 'unknown_key',
        'value_error': 'invalid_value',
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


class SettingsError(DocumentError):
    """Report every fault of a settings file."""

    code = 'invalid_settings'


def load_settings(file: str | Path) -> EntrySettings:
    """Return the settings of a YAML file; raises `DocumentError`."""
    document = Document.read(file)
    faults = document.duplicate_faults()
    try:
        settings = EntrySettings.model_validate(document.content)
    except ValidationError as error:
        faults.extend(_model_faults(document, error))
        raise SettingsError(faults) from error
    faults.extend(_repeated_values(document, settings))
    if faults:
        raise SettingsError(faults)
    return settings


def _model_faults(document: Document, error: ValidationError) -> list[DocumentFault]:
    faults = [
        document.fault(
            found['loc'],
            _CODES.get(found['type'], 'wrong_type'),
            _problem(found),
            _valid(found),
        )
        for found in error.errors(include_url=False)
    ]
    return sorted(faults, key=lambda fault: fault.line)


def _problem(found: dict[str, Any]) -> str:
    if found['type'] == 'missing':
        return 'the key is missing'
    if found['type'] == 'extra_forbidden':
        return 'the key is unknown'
    return f'{found["input"]!r} is not valid'


def _valid(found: dict[str, Any]) -> str:
    context = found.get('ctx', {})
    if found['type'] == 'extra_forbidden':
        return _valid_keys(found['loc'])
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


def _valid_keys(path: DocumentPath) -> str:
    model: type[BaseModel] = EntrySettings
    for part in path[:-1]:
        if isinstance(part, str):
            annotation = model.model_fields[part].annotation
            is_model = isinstance(annotation, type)
            model = annotation if is_model else OperatorSettings
    names = sorted(model.model_fields)
    close = get_close_matches(str(path[-1]), names, n=1)
    suggestion = f' (did you mean {close[0]}?)' if close else ''
    return f'{", ".join(names)}{suggestion}'


def _repeated_values(
    document: Document, settings: EntrySettings
) -> Iterator[DocumentFault]:
    """Find values that must differ: operators' names, tokens and listeners."""
    listen = settings.listen
    seen: set[str] = set()
    for name, address in listen.model_dump().items():
        if address in seen and not address.endswith(':0'):
            yield document.fault(
                ('listen', name),
                'repeated_value',
                f'{address!r} is used by another listener',
                'an address of its own',
            )
        seen.add(address)
    for index, operator in enumerate(settings.operators):
        for field, text in operator.model_dump().items():
            if text in seen:
                yield document.fault(
                    ('operators', index, field),
                    'repeated_value',
                    f'{text!r} belongs to another operator',
                    'a value of its own',
                )
            seen.add(text)
