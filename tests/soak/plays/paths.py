"""Tell which process the connections to a server come from."""

import os
from contextlib import suppress
from pathlib import Path

CONNECTIONS = Path('/proc/net/tcp')
LOCAL_ADDRESS = 1
INODE = 9
HEX = 16
ALL_PORTS = frozenset(range(1 << 16))


def local_ports(pid: int) -> frozenset[int]:
    """Return the local ports of all TCP sockets of a process.

    All entries connect from the same loopback address, so that only the port tells
    them apart.
    """
    inodes = _socket_inodes(Path(f'/proc/{pid}/fd'))
    ports: set[int] = set()
    for line in CONNECTIONS.read_text().splitlines()[1:]:
        fields = line.split()
        if fields[INODE] in inodes:
            ports.add(int(fields[LOCAL_ADDRESS].partition(':')[2], HEX))
    return frozenset(ports)


def _socket_inodes(directory: Path) -> set[str]:
    inodes: set[str] = set()
    # The process may end, or close a descriptor, at any time.
    with suppress(OSError):
        for descriptor in directory.iterdir():
            with suppress(OSError):
                target = os.readlink(descriptor)
                inodes.add(target.removeprefix('socket:[').removesuffix(']'))
    return inodes
