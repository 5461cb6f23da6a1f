"""Load the settings file of an entry."""

from pathlib import Path

from marjoramfall.settings.document import Document, DocumentError, DocumentPath
from marjoramfall.settings.model import EntrySettings
from marjoramfall.settings.validation import (
    repeated_value_faults,
    validate_document,
)

ANY_PORT = ':0'


def load_settings(file: str | Path) -> EntrySettings:
    """Return the settings of a YAML file; raises `DocumentError`."""
    document = Document.read(file)
    settings = validate_document(document, EntrySettings)
    faults = repeated_value_faults(document, _distinct_places(settings))
    if faults:
        raise DocumentError(faults)
    return settings


def _distinct_places(settings: EntrySettings) -> list[tuple[DocumentPath, str]]:
    """Return the listeners, operator names and tokens, which must differ."""
    places: list[tuple[DocumentPath, str]] = [
        (('listen', name), address)
        for name, address in settings.listen.model_dump().items()
        if not address.endswith(ANY_PORT)
    ]
    for index, operator in enumerate(settings.operators):
        for field, text in operator.model_dump().items():
            places.append((('operators', index, field), text))
    return places
