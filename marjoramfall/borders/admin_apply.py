"""Bring the configuration in line with a file."""

import uuid
from collections.abc import Iterator
from types import MappingProxyType

from marjoramfall.borders.admin_console import AdminConsole
from marjoramfall.borders.admin_convert import entity_from_message
from marjoramfall.borders.admin_entity_commands import list_all, put_request
from marjoramfall.borders.admin_file import EntityFile, changed_entity
from marjoramfall.borders.admin_options import make_options
from marjoramfall.borders.rpc.marjoramfall.v1 import admin_pb2
from marjoramfall.model import Configuration
from marjoramfall.process.config.draft import (
    ENTITY_TYPES,
    Entity,
    EntityKind,
    entity_id_of,
)

_SECTIONS = MappingProxyType(
    {f'{kind.value}s': kind for kind in EntityKind if kind is not EntityKind.MOVE}
)


def read_section(console: AdminConsole, section: str) -> Configuration:
    """Return a configuration with the entities of one kind."""
    kind = _SECTIONS[section]
    entity_type = ENTITY_TYPES[kind]
    response = list_all(console, entity_type.__name__, section)
    entities = [
        entity_from_message(message, entity_type)
        for message in getattr(response, section)
    ]
    by_id = {entity_id_of(entity): entity for entity in entities}
    return Configuration(revision=response.revision, **{kind.collection_name: by_id})


def apply_file(console: AdminConsole, wanted: EntityFile) -> Iterator[tuple]:
    """Put what differs, in the order of reference; yield each entity put.

    Yields pairs of an entity and its response. Each change is based on the
    one before it, so that a rival's change ends the run with
    `revision_conflict`; running it again is safe. Entities that the file
    does not name are left alone.
    """
    for section in EntityFile.model_fields:
        # Putting a service makes its first version, so each section is read
        # only after those before it were put.
        current = read_section(console, section)
        revision = current.revision
        for entry in getattr(wanted, section):
            entity = changed_entity(entry, current)
            if entity is not None:
                response = _put(console, entity, revision)
                revision = response.revision
                yield entity, response


def _put(
    console: AdminConsole, entity: Entity, revision: int
) -> admin_pb2.ChangeResponse:
    options = make_options(uuid.uuid4().hex, revision, no_wait=True)
    return console.client.call(*put_request(entity, options))
