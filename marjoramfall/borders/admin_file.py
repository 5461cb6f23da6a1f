"""Read the file of entities that `marjoramfall admin apply` takes."""

import hashlib
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

from pydantic import Field, model_validator

from marjoramfall.model import (
    BackendServer,
    Configuration,
    Delivery,
    Service,
    ServiceKind,
    Team,
    Tier,
    Version,
    VersionState,
)
from marjoramfall.process.config.draft import (
    Entity,
    entity_id_of,
    find_entity,
    kind_of,
)
from marjoramfall.settings.document import Document, DocumentError, DocumentPath
from marjoramfall.settings.model import SettingsModel
from marjoramfall.settings.validation import (
    repeated_value_faults,
    validate_document,
)

Id = Annotated[str, Field(pattern=r'^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$')]


class TierEntry(SettingsModel):
    """Describe a tier; the deadline is in milliseconds."""

    tier_id: Id
    rank: Annotated[int, Field(ge=0)]
    deadline_ms: Annotated[int, Field(ge=1)]

    def entity(self, current: Configuration) -> Tier:
        """Return the tier."""
        return Tier(self.tier_id, self.rank, self.deadline_ms)


class TeamEntry(SettingsModel):
    """Describe a team by its bearer key or by the hash of the key."""

    team_id: Id
    tier_id: Id
    key: str | None = None
    key_sha256: Annotated[str, Field(pattern='^[0-9a-f]{64}$')] | None = None
    weight: Annotated[float, Field(ge=0.001)] = 1

    def entity(self, current: Configuration) -> Team:
        """Return the team; the key itself is not sent."""
        digest = self.key_sha256 or hash_key(self.key or '')
        return Team(self.team_id, self.tier_id, digest, self.weight)

    @model_validator(mode='after')
    def _check_key(self) -> 'TeamEntry':
        if (self.key is None) == (self.key_sha256 is None):
            raise ValueError('expected either key or key_sha256')
        return self


class ServiceEntry(SettingsModel):
    """Describe a service; `version_id` counts only when it is created."""

    service_id: Id
    kind: ServiceKind
    delivery: Delivery
    version_id: Id
    max_attempts: Annotated[int, Field(ge=1)] = 2

    def entity(self, current: Configuration) -> Service:
        """Return the service at the version that serves now."""
        serving = current.services_by_id.get(self.service_id)
        return Service(
            self.service_id,
            self.kind,
            self.delivery,
            serving.version_id if serving else self.version_id,
            self.max_attempts,
        )


class VersionEntry(SettingsModel):
    """Describe a version; without a state it keeps its own."""

    version_id: Id
    service_id: Id
    state: VersionState | None = None

    def entity(self, current: Configuration) -> Version:
        """Return the version; a new one is a candidate."""
        known = current.versions_by_id.get(self.version_id)
        state = known.state if known else VersionState.CANDIDATE
        return Version(self.version_id, self.service_id, self.state or state)


class BackendServerEntry(SettingsModel):
    """Describe a backend server at `host:port`."""

    server_id: Id
    address: str
    data_centre: Id
    version_id: Id
    checks_fencing: bool = False
    max_concurrency: Annotated[int, Field(ge=1)] = 16

    def entity(self, current: Configuration) -> BackendServer:
        """Return the backend server."""
        return BackendServer(**self.model_dump())


Entry = TierEntry | TeamEntry | ServiceEntry | VersionEntry | BackendServerEntry


class EntityFile(SettingsModel):
    """List entities in the order in which they refer to each other."""

    tiers: list[TierEntry] = []
    teams: list[TeamEntry] = []
    services: list[ServiceEntry] = []
    versions: list[VersionEntry] = []
    backend_servers: list[BackendServerEntry] = []

    def entries(self) -> Iterator[tuple[DocumentPath, Entry]]:
        """Iterate over all entries with their places in the file."""
        for name in EntityFile.model_fields:
            for index, entry in enumerate(getattr(self, name)):
                yield (name, index), entry


def read_entity_file(file: str | Path) -> EntityFile:
    """Return the entities of a YAML file; raises `DocumentError`."""
    document = Document.read(file)
    entity_file = validate_document(document, EntityFile)
    places = [
        (path, f'{path[0]} {_entry_id(entry)}') for path, entry in entity_file.entries()
    ]
    faults = repeated_value_faults(document, places)
    if faults:
        raise DocumentError(faults)
    return entity_file


def changed_entity(entry: Entry, current: Configuration) -> Entity | None:
    """Return the entity of an entry, None if it is in force as it is."""
    entity = entry.entity(current)
    known = find_entity(current, kind_of(entity), entity_id_of(entity))
    return None if known == entity else entity


def hash_key(key: str) -> str:
    """Return the SHA-256 of a bearer key in hexadecimal digits."""
    return hashlib.sha256(key.encode()).hexdigest()


def _entry_id(entry: Entry) -> str:
    return str(getattr(entry, next(iter(type(entry).model_fields))))
