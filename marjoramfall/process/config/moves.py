"""Define the changes that move a service to another version."""

from dataclasses import replace

from marjoramfall.model import (
    Configuration,
    Move,
    MoveState,
    Service,
    VersionState,
)
from marjoramfall.process.config.changes import (
    Change,
    Delete,
    PutBackendServer,
    PutService,
    PutTeam,
    PutTier,
    PutVersion,
)
from marjoramfall.process.config.draft import (
    ConfigDraft,
    EntityKind,
    require_entity,
    require_reference,
)
from marjoramfall.process.config.errors import (
    ConfigChangeError,
    MoveRunningError,
    UnknownReferenceError,
)
from marjoramfall.process.config.rules import check_fields

# Every entry holds a copy of the configuration, so old moves are dropped from it;
# the audit trail keeps them all.
MAX_FINISHED_MOVES_PER_SERVICE = 10


class StartMove(Change, frozen=True, kw_only=True, tag='start_move'):
    """Start moving a service's traffic to another version."""

    move: Move

    @property
    def target(self) -> tuple[EntityKind, str]:
        """Return the kind and id of the move."""
        return EntityKind.MOVE, self.move.move_id

    def is_repeat_of(self, earlier: Change) -> bool:
        """Compare all fields but those that depend on the time of submission."""
        if not isinstance(earlier, StartMove):
            return False
        move = replace(
            self.move,
            deadline_wall_ms=earlier.move.deadline_wall_ms,
            old_version_id=earlier.move.old_version_id,
        )
        return move == earlier.move

    def validate(self, configuration: Configuration) -> None:
        """Require a usable new version and no other running move."""
        move = self.move
        check_fields(move)
        if move.move_id in configuration.moves_by_id:
            raise ConfigChangeError(f'move {move.move_id!r} exists already')
        if move.state is not MoveState.RUNNING:
            raise ConfigChangeError('a move starts in the state running')
        service = require_reference(configuration, EntityKind.SERVICE, move.service_id)
        if move.old_version_id != service.version_id:
            raise ConfigChangeError(
                f'old_version_id must be {service.version_id!r}, which serves now'
            )
        _require_usable_version(configuration, service, move.new_version_id)
        _require_no_running_move(configuration, move.service_id)

    def edit(self, draft: ConfigDraft) -> None:
        """Add the move and drop the oldest finished ones of the service."""
        moves = draft.collection(EntityKind.MOVE)
        finished = [
            move_id
            for move_id, move in moves.items()
            if move.service_id == self.move.service_id
        ]
        for move_id in finished[:-MAX_FINISHED_MOVES_PER_SERVICE]:
            moves.pop(move_id)
        draft.put(EntityKind.MOVE, self.move)


class UpdateMove(Change, frozen=True, kw_only=True, tag='update_move'):
    """Set the share of the traffic that the new version gets."""

    move_id: str
    share: float

    @property
    def target(self) -> tuple[EntityKind, str]:
        """Return the kind and id of the move."""
        return EntityKind.MOVE, self.move_id

    def validate(self, configuration: Configuration) -> None:
        """Require a running move and a share from 0 to 1."""
        move = _require_running_move(configuration, self.move_id)
        check_fields(replace(move, share=self.share))

    def edit(self, draft: ConfigDraft) -> None:
        """Set the share of the move."""
        move = draft.collection(EntityKind.MOVE).get(self.move_id)
        if move is not None:
            draft.put(EntityKind.MOVE, replace(move, share=self.share))


class EndMove(Change, frozen=True, kw_only=True, tag='end_move'):
    """Complete a move or take it back, and update its versions."""

    move_id: str
    state: MoveState
    reason: str
    withdraw_version: bool = True

    @property
    def target(self) -> tuple[EntityKind, str]:
        """Return the kind and id of the move."""
        return EntityKind.MOVE, self.move_id

    def validate(self, configuration: Configuration) -> None:
        """Require a running move and a final state."""
        _require_running_move(configuration, self.move_id)
        if self.state is MoveState.RUNNING:
            raise ConfigChangeError('a move ends as completed or taken_back')

    def edit(self, draft: ConfigDraft) -> None:
        """Set the final state of the move and update its service and versions."""
        move = draft.collection(EntityKind.MOVE).get(self.move_id)
        if move is None:
            return
        completed = self.state is MoveState.COMPLETED
        final_share = float(completed)
        ended = replace(move, state=self.state, reason=self.reason, share=final_share)
        draft.put(EntityKind.MOVE, ended)
        if completed:
            _switch_version(draft, move.service_id, move.new_version_id)
        elif self.withdraw_version:
            _set_version_state(draft, move.new_version_id, VersionState.WITHDRAWN)


class SwitchVersion(Change, frozen=True, kw_only=True, tag='switch_version'):
    """Make another version serve at once, without a move."""

    service_id: str
    version_id: str

    @property
    def target(self) -> tuple[EntityKind, str]:
        """Return the kind and id of the service."""
        return EntityKind.SERVICE, self.service_id

    def validate(self, configuration: Configuration) -> None:
        """Require a usable version and no running move."""
        service = require_entity(configuration, EntityKind.SERVICE, self.service_id)
        _require_usable_version(configuration, service, self.version_id)
        _require_no_running_move(configuration, self.service_id)

    def edit(self, draft: ConfigDraft) -> None:
        """Set the version of the service."""
        _switch_version(draft, self.service_id, self.version_id)


AnyChange = (
    PutTier
    | PutTeam
    | PutService
    | PutVersion
    | PutBackendServer
    | Delete
    | StartMove
    | UpdateMove
    | EndMove
    | SwitchVersion
)


def _require_running_move(configuration: Configuration, move_id: str) -> Move:
    move = require_entity(configuration, EntityKind.MOVE, move_id)
    if move.state is not MoveState.RUNNING:
        raise ConfigChangeError(f'move {move_id!r} has ended as {move.state}')
    return move


def _require_no_running_move(configuration: Configuration, service_id: str) -> None:
    for move in configuration.moves_by_id.values():
        if move.service_id == service_id and move.state is MoveState.RUNNING:
            raise MoveRunningError(f'move {move.move_id!r} of the service is running')


def _require_usable_version(
    configuration: Configuration, service: Service, version_id: str
) -> None:
    version = configuration.versions_by_id.get(version_id)
    if version is None or version.service_id != service.service_id:
        raise UnknownReferenceError(
            f'service {service.service_id!r} has no version {version_id!r}'
        )
    if version_id == service.version_id:
        raise ConfigChangeError(f'version {version_id!r} serves already')
    if version.state is VersionState.WITHDRAWN:
        raise ConfigChangeError(f'version {version_id!r} is withdrawn')


def _switch_version(draft: ConfigDraft, service_id: str, version_id: str) -> None:
    service = draft.collection(EntityKind.SERVICE).get(service_id)
    if service is None:
        return
    _set_version_state(draft, service.version_id, VersionState.RETIRED)
    _set_version_state(draft, version_id, VersionState.ACTIVE)
    draft.put(EntityKind.SERVICE, replace(service, version_id=version_id))


def _set_version_state(
    draft: ConfigDraft, version_id: str, state: VersionState
) -> None:
    version = draft.collection(EntityKind.VERSION).get(version_id)
    if version is not None:
        draft.put(EntityKind.VERSION, replace(version, state=state))
