"""Convert between the schema's messages and the entities."""

from typing import Any

import msgspec
from google.protobuf import json_format
from google.protobuf.descriptor import FieldDescriptor
from google.protobuf.message import Message

from marjoramfall.process.config.draft import Entity
from marjoramfall.process.config.errors import ConfigChangeError

UNSPECIFIED = 'UNSPECIFIED'


def entity_from_message(message: Message, entity_type: type[Entity]) -> Entity:
    """Return the entity of a message; raises `ConfigChangeError`."""
    fields = json_format.MessageToDict(
        message,
        preserving_proto_field_name=True,
        always_print_fields_with_no_presence=True,
    )
    for field in message.DESCRIPTOR.fields:
        if field.enum_type is not None:
            _read_enum(fields, field)
    try:
        return msgspec.convert(fields, entity_type, strict=False)
    except msgspec.ValidationError as error:
        raise ConfigChangeError(str(error)) from error


def fill_message(message: Message, record: Any) -> Message:
    """Fill a message from an entity or another dataclass; return it."""
    fields = msgspec.to_builtins(record)
    for field in message.DESCRIPTOR.fields:
        if field.enum_type is not None:
            fields[field.name] = _prefix(field) + fields[field.name].upper()
    return json_format.ParseDict(fields, message)


def _read_enum(fields: dict[str, Any], field: FieldDescriptor) -> None:
    name = str(fields[field.name]).removeprefix(_prefix(field))
    if name == UNSPECIFIED:
        raise ConfigChangeError(f'{field.name} is required')
    fields[field.name] = name.lower()


def _prefix(field: FieldDescriptor) -> str:
    return field.enum_type.values[0].name.removesuffix(UNSPECIFIED)
