"""Carry out the methods of the operator interface."""

import re
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from itertools import islice

import msgspec
from google.protobuf.message import Message

from marjoramfall.borders.admin_backend import AdminBackend
from marjoramfall.borders.admin_convert import entity_from_message, fill_message
from marjoramfall.borders.rpc.marjoramfall.v1 import admin_pb2
from marjoramfall.clock import Clock
from marjoramfall.model import Move, MoveGuard, MoveState
from marjoramfall.process.config.changes import (
    Change,
    Delete,
    Put,
    PutBackendServer,
    PutService,
    PutTeam,
    PutTier,
    PutVersion,
)
from marjoramfall.process.config.draft import (
    ENTITY_TYPES,
    EntityKind,
    require_entity,
    require_reference,
)
from marjoramfall.process.config.errors import ConfigChangeError
from marjoramfall.process.config.log import Submission
from marjoramfall.process.config.moves import EndMove, StartMove, SwitchVersion
from marjoramfall.process.config.replication import Confirmation

CONFIRM_WITHIN_MS = 3000
CONFIRM_POLL_MS = 10
DEFAULT_LIST_LIMIT = 1000
DEFAULT_AUDIT_LIMIT = 100
MAX_AUDIT_LIMIT = 1000
MAX_WITHIN_MS = 86_400_000
_CHANGE_ID = re.compile('[A-Za-z0-9._-]{1,64}')

Method = Callable[[Message, str], Message]


@dataclass(frozen=True, slots=True)
class EntityMethods:
    """Connect the methods of one kind of entity with its change."""

    kind: EntityKind
    put: type[Put] | None

    @property
    def name(self) -> str:
        """Return the name in method names, such as `BackendServer`."""
        return self.kind.value.title().replace('_', '')

    def message(self) -> Message:
        """Return an empty message of the entity."""
        return getattr(admin_pb2, self.name)()


_ENTITIES = (
    EntityMethods(EntityKind.TIER, PutTier),
    EntityMethods(EntityKind.TEAM, PutTeam),
    EntityMethods(EntityKind.SERVICE, PutService),
    EntityMethods(EntityKind.VERSION, PutVersion),
    EntityMethods(EntityKind.BACKEND_SERVER, PutBackendServer),
    EntityMethods(EntityKind.MOVE, None),
)


class AdminMethods:
    """Call the backend for each method of the schema."""

    def __init__(self, backend: AdminBackend, clock: Clock) -> None:
        self._backend = backend
        self._clock = clock
        self._methods_by_name = self._make_methods()

    @property
    def methods_by_name(self) -> Mapping[str, Method]:
        """Return each method; it takes a request and the operator's name."""
        return self._methods_by_name

    def _make_methods(self) -> dict[str, Method]:
        methods: dict[str, Method] = {
            'SwitchVersion': self._switch_version,
            'StartMove': self._start_move,
            'CancelMove': self._cancel_move,
            'ListAuditRecords': self._list_audit_records,
            'GetStatus': self._get_status,
        }
        for entity in _ENTITIES:
            methods[f'Get{entity.name}'] = partial(self._get, entity)
            methods[f'List{entity.name}s'] = partial(self._list, entity)
            if entity.put is not None:
                methods[f'Put{entity.name}'] = partial(self._put, entity)
                methods[f'Delete{entity.name}'] = partial(self._delete, entity)
        return methods

    def _put(self, entity: EntityMethods, request: Message, operator: str) -> Message:
        field = entity.kind.value
        if not request.HasField(field):
            raise ConfigChangeError(f'{field} is required')
        sent = entity_from_message(getattr(request, field), ENTITY_TYPES[entity.kind])
        return self._submit(entity.put(entity=sent), request.options, operator)

    def _delete(
        self, entity: EntityMethods, request: Message, operator: str
    ) -> Message:
        change = Delete(kind=entity.kind, entity_id=request.id)
        return self._submit(change, request.options, operator)

    def _get(self, entity: EntityMethods, request: Message, operator: str) -> Message:
        configuration = self._backend.configuration()
        found = require_entity(configuration, entity.kind, request.id)
        return fill_message(entity.message(), found)

    def _list(self, entity: EntityMethods, request: Message, operator: str) -> Message:
        configuration = self._backend.configuration()
        collection = getattr(configuration, entity.kind.collection_name)
        following = (key for key in sorted(collection) if key > request.after)
        limit = request.limit if request.limit > 0 else DEFAULT_LIST_LIMIT
        response = getattr(admin_pb2, f'List{entity.name}sResponse')()
        response.revision = configuration.revision
        listed = getattr(response, f'{entity.kind.value}s')
        for key in islice(following, limit):
            fill_message(listed.add(), collection[key])
        return response

    def _switch_version(self, request: Message, operator: str) -> Message:
        change = SwitchVersion(
            service_id=request.service_id, version_id=request.version_id
        )
        return self._submit(change, request.options, operator)

    def _start_move(self, request: Message, operator: str) -> Message:
        if not 0 < request.within_ms <= MAX_WITHIN_MS:
            raise ConfigChangeError(f'within_ms must be from 1 to {MAX_WITHIN_MS}')
        service = require_reference(
            self._backend.configuration(), EntityKind.SERVICE, request.service_id
        )
        move = Move(
            move_id=request.move_id,
            service_id=request.service_id,
            old_version_id=service.version_id,
            new_version_id=request.new_version_id,
            deadline_wall_ms=self._clock.wall_ms() + request.within_ms,
            guard=entity_from_message(request.guard, MoveGuard),
        )
        return self._submit(StartMove(move=move), request.options, operator)

    def _cancel_move(self, request: Message, operator: str) -> Message:
        change = EndMove(
            move_id=request.move_id,
            state=MoveState.TAKEN_BACK,
            reason=f'cancelled by {operator}',
            withdraw_version=False,
        )
        return self._submit(change, request.options, operator)

    def _submit(self, change: Change, options: Message, operator: str) -> Message:
        if _CHANGE_ID.fullmatch(options.change_id) is None:
            raise ConfigChangeError(
                'change_id must be 1 to 64 letters, digits, ".", "_" or "-"'
            )
        if not options.HasField('base_revision') or options.base_revision < 0:
            raise ConfigChangeError(
                'base_revision is required; 0 stands for the current revision'
            )
        written = self._backend.submit(
            Submission(change, options.change_id, operator, options.base_revision)
        )
        wait_ms = 0 if options.no_wait else CONFIRM_WITHIN_MS
        confirmation = self._await_confirmation(written.revision, wait_ms)
        return admin_pb2.ChangeResponse(
            revision=written.revision,
            in_force_everywhere=confirmation.in_force_everywhere,
            unconfirmed_entries=confirmation.unconfirmed,
            repeated=written.repeated,
        )

    def _await_confirmation(self, revision: int, wait_ms: int) -> Confirmation:
        give_up_ms = self._clock.monotonic_ms() + wait_ms
        confirmation = self._backend.confirmation(revision)
        while not confirmation.in_force_everywhere:
            if self._clock.monotonic_ms() >= give_up_ms:
                break
            self._clock.sleep_ms(CONFIRM_POLL_MS)
            confirmation = self._backend.confirmation(revision)
        return confirmation

    def _list_audit_records(self, request: Message, operator: str) -> Message:
        limit = request.limit if request.limit > 0 else DEFAULT_AUDIT_LIMIT
        records = self._backend.audit(
            after_revision=max(request.after_revision, 0),
            limit=min(limit, MAX_AUDIT_LIMIT),
        )
        response = admin_pb2.ListAuditRecordsResponse()
        for record in records:
            response.records.add(
                revision=record.revision,
                change_id=record.change_id,
                operator=record.operator,
                wall_ms=record.wall_ms,
                change_type=record.change.__struct_config__.tag,
                before_json=_json_text(record.before),
                after_json=_json_text(record.after),
            )
        return response

    def _get_status(self, request: Message, operator: str) -> Message:
        status = self._backend.status()
        revision = self._backend.configuration().revision
        confirmation = self._backend.confirmation(revision)
        response = admin_pb2.Status(
            entry_id=status.entry_id,
            revision=revision,
            in_force_everywhere=confirmation.in_force_everywhere,
            ready=status.ready,
            unready_reasons=status.unready_reasons,
        )
        for member in status.members:
            listed = fill_message(response.members.add(), member)
            listed.confirmed = member.entry_id not in confirmation.unconfirmed
        for dispatcher in status.dispatchers:
            fill_message(response.dispatchers.add(), dispatcher)
        return response


def _json_text(entity: dict[str, object] | None) -> str:
    return '' if entity is None else msgspec.json.encode(entity).decode()
