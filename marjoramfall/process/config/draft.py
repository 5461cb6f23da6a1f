"""Edit a copy of the configuration."""

from dataclasses import replace
from enum import StrEnum
from types import MappingProxyType

from marjoramfall.model import (
    BackendServer,
    Configuration,
    Move,
    Service,
    Team,
    Tier,
    Version,
)
from marjoramfall.process.config.errors import (
    EntityNotFoundError,
    UnknownReferenceError,
)

Entity = Tier | Team | Service | Version | BackendServer | Move


class EntityKind(StrEnum):
    """Name the kinds of configuration entities."""

    TIER = 'tier'
    TEAM = 'team'
    SERVICE = 'service'
    VERSION = 'version'
    BACKEND_SERVER = 'backend_server'
    MOVE = 'move'

    @property
    def collection_name(self) -> str:
        """Return the name of the field of `Configuration` that holds this kind."""
        return f'{self.value}s_by_id'


ENTITY_TYPES = MappingProxyType(
    {
        EntityKind.TIER: Tier,
        EntityKind.TEAM: Team,
        EntityKind.SERVICE: Service,
        EntityKind.VERSION: Version,
        EntityKind.BACKEND_SERVER: BackendServer,
        EntityKind.MOVE: Move,
    }
)
_KINDS_BY_TYPE = MappingProxyType(
    {entity_type: kind for kind, entity_type in ENTITY_TYPES.items()}
)
_ID_FIELDS = MappingProxyType(
    {
        Tier: 'tier_id',
        Team: 'team_id',
        Service: 'service_id',
        Version: 'version_id',
        BackendServer: 'server_id',
        Move: 'move_id',
    }
)


def entity_id_of(entity: Entity) -> str:
    """Return the key of an entity in its collection."""
    return getattr(entity, _ID_FIELDS[type(entity)])


def kind_of(entity: Entity) -> EntityKind:
    """Return the kind of an entity."""
    return _KINDS_BY_TYPE[type(entity)]


def find_entity(
    configuration: Configuration, kind: EntityKind, entity_id: str
) -> Entity | None:
    """Return an entity, None if it does not exist."""
    return getattr(configuration, kind.collection_name).get(entity_id)


def require_entity(
    configuration: Configuration, kind: EntityKind, entity_id: str
) -> Entity:
    """Return an entity; raises `EntityNotFoundError` if it does not exist."""
    entity = find_entity(configuration, kind, entity_id)
    if entity is None:
        raise EntityNotFoundError(f'there is no {kind} {entity_id!r}')
    return entity


def require_reference(
    configuration: Configuration, kind: EntityKind, entity_id: str
) -> Entity:
    """Return a referenced entity; raises `UnknownReferenceError` if missing."""
    entity = find_entity(configuration, kind, entity_id)
    if entity is None:
        raise UnknownReferenceError(f'there is no {kind} {entity_id!r} to refer to')
    return entity


class ConfigDraft:
    """Collect edits of a configuration and build the next revision from them."""

    def __init__(self, configuration: Configuration) -> None:
        self._base = configuration
        self._edited: dict[str, dict[str, Entity]] = {}

    def collection(self, kind: EntityKind) -> dict[str, Entity]:
        """Return the editable copy of the entities of a kind by id."""
        name = kind.collection_name
        if name not in self._edited:
            self._edited[name] = dict(getattr(self._base, name))
        return self._edited[name]

    def put(self, kind: EntityKind, entity: Entity) -> None:
        """Add or replace an entity."""
        self.collection(kind)[entity_id_of(entity)] = entity

    def drop(self, kind: EntityKind, entity_id: str) -> None:
        """Remove an entity if it exists."""
        self.collection(kind).pop(entity_id, None)

    def finish(self, revision: int) -> Configuration:
        """Return the edited configuration with the given revision."""
        return replace(self._base, revision=revision, **self._edited)
