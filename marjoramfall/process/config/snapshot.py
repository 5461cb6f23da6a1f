"""Keep snapshots of the configuration in the object store."""

from dataclasses import dataclass
from typing import ClassVar

import msgspec
import xxhash

from marjoramfall.model import Configuration
from marjoramfall.platform_services import (
    ObjectStore,
    RowCondition,
    RowWrite,
    TableService,
)
from marjoramfall.process.config.errors import ConfigLogError
from marjoramfall.process.config.log import CONFIG_TABLE

POINTER_KEY = 'snapshot'
# The previous snapshot is loaded if the latest is torn.
KEPT_SNAPSHOTS = 2
# After loading a snapshot, a new VM reads at most three pages of the log, of
# `log.READ_LIMIT` records each.
REVISIONS_PER_SNAPSHOT = 256


class SnapshotError(ConfigLogError):
    """Report a snapshot that cannot be used."""

    code = 'snapshot_failed'


class SnapshotMissingError(SnapshotError):
    """Report a snapshot that the pointer row names but the store lacks."""

    code = 'snapshot_missing'


class SnapshotTornError(SnapshotError):
    """Report a snapshot that differs from its checksum or cannot be decoded."""

    code = 'snapshot_torn'


class SnapshotRevisionError(SnapshotError):
    """Report a snapshot whose revision differs from the one in its name."""

    code = 'snapshot_revision_mismatch'


class SnapshotReference(msgspec.Struct, frozen=True):
    """Name a snapshot; the checksum is xxh3-64 in hexadecimal digits."""

    revision: int
    checksum: str

    @property
    def name(self) -> str:
        """Return the name in the object store."""
        return f'config/snapshot-{self.revision}'


@dataclass(frozen=True, slots=True)
class LoadedSnapshot:
    """Hold the latest usable snapshot and the errors of newer, unusable ones."""

    configuration: Configuration
    errors: tuple[SnapshotError, ...]


class SnapshotCodec:
    """Encode configurations as JSON and decode them."""

    _decoder: ClassVar[msgspec.json.Decoder] = msgspec.json.Decoder(Configuration)

    @classmethod
    def encode(cls, configuration: Configuration) -> bytes:
        """Return the JSON of a configuration."""
        return msgspec.json.encode(configuration)

    @classmethod
    def decode(cls, blob: bytes | str) -> Configuration:
        """Return a configuration; raises `SnapshotTornError`."""
        try:
            return cls._decoder.decode(blob)
        except msgspec.MsgspecError as error:
            raise SnapshotTornError(f'snapshot: {error}') from error


class SnapshotStore:
    """Write and read snapshots.

    The pointer row names the latest snapshots, the newest first; the revision
    of the newest never decreases.
    """

    _pointer_decoder: ClassVar[msgspec.json.Decoder] = msgspec.json.Decoder(
        list[SnapshotReference]
    )

    def __init__(self, tables: TableService, objects: ObjectStore) -> None:
        self._tables = tables
        self._objects = objects

    def is_due(self, configuration: Configuration) -> bool:
        """Return whether enough changes follow the latest snapshot.

        Raises `PlatformUnavailableError`.
        """
        references, _ = self._read_pointer()
        latest = references[0].revision if references else 0
        return configuration.revision - latest >= REVISIONS_PER_SNAPSHOT

    def save(self, configuration: Configuration) -> bool:
        """Store a snapshot; return whether it became the latest.

        The pointer row is not changed if the snapshot is not newer than the
        latest or if a concurrent one was stored first. Raises a
        `PlatformError`.
        """
        references, pointer = self._read_pointer()
        if references and references[0].revision >= configuration.revision:
            return False
        blob = SnapshotCodec.encode(configuration)
        checksum = xxhash.xxh3_64_hexdigest(blob)
        latest = SnapshotReference(configuration.revision, checksum)
        self._objects.put(latest.name, blob)
        kept = [latest, *references][:KEPT_SNAPSHOTS]
        return self._tables.transact(
            (RowCondition(CONFIG_TABLE, POINTER_KEY, pointer),),
            (RowWrite(CONFIG_TABLE, POINTER_KEY, msgspec.json.encode(kept).decode()),),
        )

    def load(self) -> LoadedSnapshot:
        """Return the latest usable snapshot, or an empty configuration.

        The log is complete, so an old or missing snapshot only means that more
        of the log must be read. Raises `PlatformUnavailableError`.
        """
        references, _ = self._read_pointer()
        errors: list[SnapshotError] = []
        for reference in references:
            try:
                return LoadedSnapshot(self._fetch(reference), tuple(errors))
            except SnapshotError as error:
                errors.append(error)
        return LoadedSnapshot(Configuration(), tuple(errors))

    def _read_pointer(self) -> tuple[list[SnapshotReference], str | None]:
        text = self._tables.read(CONFIG_TABLE, POINTER_KEY)
        if text is None:
            return [], None
        try:
            return self._pointer_decoder.decode(text), text
        except msgspec.MsgspecError:
            # The next snapshot replaces an unreadable pointer.
            return [], text

    def _fetch(self, reference: SnapshotReference) -> Configuration:
        blob = self._objects.get(reference.name)
        if blob is None:
            raise SnapshotMissingError(
                f'there is no object {reference.name} in the object store'
            )
        if xxhash.xxh3_64_hexdigest(blob) != reference.checksum:
            raise SnapshotTornError(f'{reference.name} differs from its checksum')
        configuration = SnapshotCodec.decode(blob)
        if configuration.revision != reference.revision:
            raise SnapshotRevisionError(
                f'{reference.name} holds revision {configuration.revision}'
            )
        return configuration
