"""Define the changes that add, replace or delete one entity."""

from typing import ClassVar

import msgspec

from marjoramfall.model import (
    BackendServer,
    Configuration,
    MoveState,
    Service,
    Team,
    Tier,
    Version,
)
from marjoramfall.process.config.draft import (
    ConfigDraft,
    Entity,
    EntityKind,
    entity_id_of,
    find_entity,
    require_entity,
    require_reference,
)
from marjoramfall.process.config.errors import (
    ConfigChangeError,
    MoveRunningError,
    StillReferencedError,
)
from marjoramfall.process.config.rules import check_fields


class Change(msgspec.Struct, frozen=True, kw_only=True, tag_field='type'):
    """Change one entity; a log record holds exactly one change."""

    @property
    def target(self) -> tuple[EntityKind, str]:
        """Return the kind and id of the changed entity."""
        raise NotImplementedError

    def is_repeat_of(self, earlier: 'Change') -> bool:
        """Return whether both are the same change, sent twice under one id."""
        return self == earlier

    def validate(self, configuration: Configuration) -> None:
        """Raise a `ConfigChangeError` if the change is not allowed."""
        raise NotImplementedError

    def edit(self, draft: ConfigDraft) -> None:
        """Apply the change to a draft; never fails for a record of the log.

        The rules of `validate` are not checked again, since records that were
        written under older rules must stay applicable.
        """
        raise NotImplementedError


class Put(Change, frozen=True, kw_only=True):
    """Add or replace one entity."""

    kind: ClassVar[EntityKind]
    entity: Entity

    @property
    def target(self) -> tuple[EntityKind, str]:
        """Return the kind and id of the changed entity."""
        return self.kind, entity_id_of(self.entity)

    def validate(self, configuration: Configuration) -> None:
        """Raise `ConfigChangeError` if a field of the entity is invalid."""
        check_fields(self.entity)

    def edit(self, draft: ConfigDraft) -> None:
        """Add the entity to the draft, or replace it."""
        draft.put(self.kind, self.entity)


class PutTier(Put, frozen=True, kw_only=True, tag='put_tier'):
    """Add or replace a tier."""

    kind: ClassVar[EntityKind] = EntityKind.TIER
    entity: Tier

    def validate(self, configuration: Configuration) -> None:
        """Require a rank that no other tier has."""
        check_fields(self.entity)
        for tier in configuration.tiers_by_id.values():
            if tier.tier_id != self.entity.tier_id and tier.rank == self.entity.rank:
                raise ConfigChangeError(
                    f'rank {tier.rank} belongs to tier {tier.tier_id!r}'
                )


class PutTeam(Put, frozen=True, kw_only=True, tag='put_team'):
    """Add or replace a team."""

    kind: ClassVar[EntityKind] = EntityKind.TEAM
    entity: Team

    def validate(self, configuration: Configuration) -> None:
        """Require the team's tier and a key that no other team has."""
        check_fields(self.entity)
        require_reference(configuration, EntityKind.TIER, self.entity.tier_id)
        for team in configuration.teams_by_id.values():
            same_key = team.key_sha256 == self.entity.key_sha256
            if same_key and team.team_id != self.entity.team_id:
                raise ConfigChangeError(f'team {team.team_id!r} has the same key')


class PutService(Put, frozen=True, kw_only=True, tag='put_service'):
    """Add a service with its first version, or replace its properties.

    A service and its version refer to each other, so a new service brings
    its first version with it if that does not exist yet.
    """

    kind: ClassVar[EntityKind] = EntityKind.SERVICE
    entity: Service

    def validate(self, configuration: Configuration) -> None:
        """Require a new version, or the one that serves the service already."""
        check_fields(self.entity)
        version = configuration.versions_by_id.get(self.entity.version_id)
        if version and version.service_id != self.entity.service_id:
            raise ConfigChangeError(
                f'version {version.version_id!r} belongs to {version.service_id!r}'
            )
        current = configuration.services_by_id.get(self.entity.service_id)
        if current and current.version_id != self.entity.version_id:
            raise ConfigChangeError(
                f'service {current.service_id!r} is at version '
                f'{current.version_id!r}; start a move or switch it'
            )

    def edit(self, draft: ConfigDraft) -> None:
        """Put the service, and its first version if that does not exist."""
        super().edit(draft)
        versions = draft.collection(EntityKind.VERSION)
        if self.entity.version_id not in versions:
            first = Version(self.entity.version_id, self.entity.service_id)
            draft.put(EntityKind.VERSION, first)


class PutVersion(Put, frozen=True, kw_only=True, tag='put_version'):
    """Add or replace a version of a service."""

    kind: ClassVar[EntityKind] = EntityKind.VERSION
    entity: Version

    def validate(self, configuration: Configuration) -> None:
        """Require the service and that the version belongs to no other service.

        The state of a version in a running move must not change.
        """
        check_fields(self.entity)
        require_reference(configuration, EntityKind.SERVICE, self.entity.service_id)
        current = configuration.versions_by_id.get(self.entity.version_id)
        if current and current.service_id != self.entity.service_id:
            raise ConfigChangeError(
                f'version {current.version_id!r} belongs to {current.service_id!r}'
            )
        _require_no_state_change_in_move(configuration, self.entity)


class PutBackendServer(Put, frozen=True, kw_only=True, tag='put_backend_server'):
    """Add or replace a backend server."""

    kind: ClassVar[EntityKind] = EntityKind.BACKEND_SERVER
    entity: BackendServer

    def validate(self, configuration: Configuration) -> None:
        """Require the version and an address that no other server uses."""
        check_fields(self.entity)
        require_reference(configuration, EntityKind.VERSION, self.entity.version_id)
        for server in configuration.backend_servers_by_id.values():
            same_address = server.address == self.entity.address
            if same_address and server.server_id != self.entity.server_id:
                raise ConfigChangeError(
                    f'server {server.server_id!r} has the same address'
                )


class Delete(Change, frozen=True, kw_only=True, tag='delete'):
    """Remove an entity that nothing refers to."""

    kind: EntityKind
    entity_id: str

    @property
    def target(self) -> tuple[EntityKind, str]:
        """Return the kind and id of the removed entity."""
        return self.kind, self.entity_id

    def validate(self, configuration: Configuration) -> None:
        """Require that the entity exists and nothing refers to it."""
        entity = require_entity(configuration, self.kind, self.entity_id)
        if self.kind is EntityKind.MOVE and entity.state is MoveState.RUNNING:
            raise MoveRunningError(f'move {self.entity_id!r} is running; cancel it')
        references = describe_references(configuration, self.kind, self.entity_id)
        if references:
            raise StillReferencedError(
                f'{self.kind} {self.entity_id!r}: {references[0]}'
            )

    def edit(self, draft: ConfigDraft) -> None:
        """Remove the entity; with a service also its versions and moves."""
        draft.drop(self.kind, self.entity_id)
        if self.kind is not EntityKind.SERVICE:
            return
        for kind in (EntityKind.VERSION, EntityKind.MOVE):
            for entity_id, owned in tuple(draft.collection(kind).items()):
                if owned.service_id == self.entity_id:
                    draft.drop(kind, entity_id)


def describe_references(
    configuration: Configuration, kind: EntityKind, entity_id: str
) -> list[str]:
    """Return one phrase for each reference that prevents a deletion."""
    references = []
    if kind is EntityKind.TIER:
        references = _describe_referrers(
            configuration, EntityKind.TEAM, 'tier_id', entity_id
        )
    if kind is EntityKind.VERSION:
        references = _describe_referrers(
            configuration, EntityKind.SERVICE, 'version_id', entity_id
        )
        references += _describe_referrers(
            configuration, EntityKind.BACKEND_SERVER, 'version_id', entity_id
        )
        version = configuration.versions_by_id[entity_id]
        references += _describe_running_moves(
            configuration, version.service_id, entity_id
        )
    if kind is EntityKind.SERVICE:
        references = _describe_running_moves(configuration, entity_id, None)
        for version in configuration.versions_by_id.values():
            if version.service_id == entity_id:
                references += _describe_referrers(
                    configuration,
                    EntityKind.BACKEND_SERVER,
                    'version_id',
                    version.version_id,
                )
    return references


def _describe_referrers(
    configuration: Configuration, kind: EntityKind, field: str, entity_id: str
) -> list[str]:
    collection = getattr(configuration, kind.collection_name)
    return [
        f'{kind} {referrer_id!r} refers to it'
        for referrer_id, referrer in collection.items()
        if getattr(referrer, field) == entity_id
    ]


def _describe_running_moves(
    configuration: Configuration, service_id: str, version_id: str | None
) -> list[str]:
    """Return a phrase per running move of a service, from or to a version if given."""
    return [
        f'move {move.move_id!r} is running'
        for move in configuration.moves_by_id.values()
        if move.service_id == service_id
        and move.state is MoveState.RUNNING
        and version_id in {None, move.old_version_id, move.new_version_id}
    ]


def _require_no_state_change_in_move(
    configuration: Configuration, version: Version
) -> None:
    current = find_entity(configuration, EntityKind.VERSION, version.version_id)
    if current is None or current.state is version.state:
        return
    references = _describe_running_moves(
        configuration, version.service_id, version.version_id
    )
    if references:
        raise MoveRunningError(f'version {version.version_id!r}: {references[0]}')
