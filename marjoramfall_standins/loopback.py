"""Find loopback addresses for processes that are about to start."""

import itertools
import os
import socket

HOST = '127.0.0.1'
# Below the usual range of outgoing connections, one of which could otherwise
# take the port between its choice and the start of the process.
FIRST_PORT = 12_000
PORT_COUNT = 18_000
# Keeps runs side by side apart.
PORTS_PER_PROCESS = 61

_offsets = itertools.count(os.getpid() * PORTS_PER_PROCESS)


def free_address() -> str:
    """Return an address whose port is free now and was not returned before."""
    for offset in _offsets:
        port = FIRST_PORT + offset % PORT_COUNT
        try:
            socket.create_server((HOST, port)).close()
        except OSError:
            continue
        return f'{HOST}:{port}'
    raise RuntimeError('no free port')
