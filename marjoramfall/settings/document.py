"""Read a YAML file together with the line of every key."""

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import yaml

from marjoramfall.errors import InvalidRequestError

MAX_FILE_BYTES = 1_048_576
MAX_DEPTH = 32
NESTING = f'at most {MAX_DEPTH} levels'
DocumentPath = tuple[str | int, ...]


@dataclass(frozen=True, slots=True)
class DocumentFault:
    """Say what is wrong at one place of a file, and what would be valid.

    `line` counts from 1; 0 stands for the file as a whole.
    """

    file: str
    path: str
    line: int
    code: str
    problem: str
    valid: str

    def __str__(self) -> str:
        """Return the fault as one line."""
        place = f'{self.file}:{self.line}' if self.line else self.file
        where = self.path or '(document)'
        return f'{place}: {where}: [{self.code}] {self.problem}; valid: {self.valid}'


class DocumentError(InvalidRequestError):
    """Report every fault of a file."""

    code = 'invalid_file'

    def __init__(self, faults: list[DocumentFault]) -> None:
        super().__init__('; '.join(str(fault) for fault in faults))
        self.faults = sorted(faults, key=lambda fault: fault.line)


def format_path(path: DocumentPath) -> str:
    """Return a path such as `operators[0].name`."""
    text = ''
    for part in path:
        separator = '.' if text else ''
        text += f'[{part}]' if isinstance(part, int) else f'{separator}{part}'
    return text


class Document:
    """Hold the content of a file as strings, lists and dicts."""

    def __init__(self, file: str, root: yaml.Node, content: object) -> None:
        self.file = file
        self.content = content
        self._lines_by_path: dict[DocumentPath, int] = {}
        self._duplicates: list[DocumentPath] = []
        self._index(root, ())

    @classmethod
    def read(cls, file: str | Path) -> 'Document':
        """Read a file; raises `DocumentError`."""
        name = str(file)
        text = _read_text(name)
        try:
            return cls._parse(name, text)
        except yaml.YAMLError as error:
            raise _yaml_error(name, error) from error

    def line_of(self, path: DocumentPath) -> int:
        """Return the line of a path or of its closest parent."""
        for length in range(len(path), 0, -1):
            line = self._lines_by_path.get(path[:length])
            if line is not None:
                return line
        return 1

    def fault(
        self, path: DocumentPath, code: str, problem: str, valid: str
    ) -> DocumentFault:
        """Return a fault at a path of this document."""
        line = self.line_of(path)
        return DocumentFault(self.file, format_path(path), line, code, problem, valid)

    def duplicate_faults(self) -> list[DocumentFault]:
        """Return a fault for each key that occurs twice in a mapping."""
        return [
            self.fault(path, 'duplicate_key', 'the key occurs twice', 'one occurrence')
            for path in self._duplicates
        ]

    @classmethod
    def _parse(cls, name: str, text: str) -> 'Document':
        _check_events(name, text)
        loader = yaml.BaseLoader(text)
        root = loader.get_single_node()
        if root is None:
            fault = DocumentFault(
                name, '', 0, 'empty_file', 'the file is empty', 'a YAML mapping'
            )
            raise DocumentError([fault])
        return cls(name, root, loader.construct_document(root))

    def _index(self, node: yaml.Node, path: DocumentPath) -> None:
        for part, line, child in _children(node):
            child_path = (*path, part)
            if child_path in self._lines_by_path:
                self._duplicates.append(child_path)
            self._lines_by_path[child_path] = line
            self._index(child, child_path)


def _children(node: yaml.Node) -> Iterator[tuple[str | int, int, yaml.Node]]:
    if isinstance(node, yaml.MappingNode):
        for key, child in node.value:
            yield str(key.value), key.start_mark.line + 1, child
    if isinstance(node, yaml.SequenceNode):
        for index, element in enumerate(node.value):
            yield index, element.start_mark.line + 1, element


def _read_text(name: str) -> str:
    try:
        raw = _read_bytes(name)
    except OSError as error:
        fault = DocumentFault(
            name, '', 0, 'unreadable_file', str(error.strerror), 'a readable file'
        )
        raise DocumentError([fault]) from error
    try:
        return raw.decode('utf-8')
    except UnicodeDecodeError as error:
        line = raw.count(b'\n', 0, error.start) + 1
        fault = DocumentFault(
            name, '', line, 'not_utf8', f'byte {error.start} is not UTF-8', 'UTF-8'
        )
        raise DocumentError([fault]) from error


def _read_bytes(name: str) -> bytes:
    with open(name, 'rb') as stream:
        raw = stream.read(MAX_FILE_BYTES + 1)
    if len(raw) > MAX_FILE_BYTES:
        fault = DocumentFault(
            name, '', 0, 'file_too_large', 'too large', f'up to {MAX_FILE_BYTES} bytes'
        )
        raise DocumentError([fault])
    return raw


def _check_events(name: str, text: str) -> None:
    """Refuse what makes the parser slow: aliases and deep nesting.

    A few aliases expand without bound, and the time to parse grows with the
    square of the depth.
    """
    depth = 0
    for event in yaml.parse(text, Loader=yaml.BaseLoader):
        line = event.start_mark.line + 1
        depth += isinstance(event, yaml.CollectionStartEvent)
        depth -= isinstance(event, yaml.CollectionEndEvent)
        if isinstance(event, yaml.AliasEvent):
            fault = DocumentFault(
                name,
                '',
                line,
                'alias_not_allowed',
                f'alias *{event.anchor}',
                'the value written out',
            )
            raise DocumentError([fault])
        if depth > MAX_DEPTH:
            fault = DocumentFault(
                name, '', line, 'invalid_yaml', 'nested too deeply', NESTING
            )
            raise DocumentError([fault])


def _yaml_error(name: str, error: yaml.YAMLError) -> DocumentError:
    mark = getattr(error, 'problem_mark', None)
    line = mark.line + 1 if mark else 0
    problem = getattr(error, 'problem', None) or 'unreadable YAML'
    fault = DocumentFault(
        name, '', line, 'invalid_yaml', str(problem), 'one YAML document'
    )
    return DocumentError([fault])
