"""Start processes whose name lookups take long or never end."""

import os
from contextlib import contextmanager
from pathlib import Path
from unittest.mock import patch

# Python imports a module of this name before the program. The functions replaced
# are those below `socket` and gevent's resolvers; numeric addresses need no lookup.
SITE_MODULE = """
import _socket
import functools
import time


def wait_then_fail(*_args, **_options):
    time.sleep({delay_s})
    raise _socket.gaierror(-3, 'Temporary failure in name resolution')


def is_numeric(host):
    try:
        _socket.inet_aton(host)
    except (OSError, TypeError):
        return host is None
    return True


def only_numeric(look_up):
    @functools.wraps(look_up)
    def checked(host, *args, **options):
        if is_numeric(host):
            return look_up(host, *args, **options)
        return wait_then_fail()
    return checked


_socket.gethostbyaddr = wait_then_fail
_socket.getnameinfo = wait_then_fail
for name in ('getaddrinfo', 'gethostbyname', 'gethostbyname_ex'):
    setattr(_socket, name, only_numeric(getattr(_socket, name)))
"""
NEVER_S = 3600


@contextmanager
def late_resolver(directory, delay_s=NEVER_S):
    """Give processes that are started meanwhile a resolver that answers late."""
    module = Path(directory) / 'sitecustomize.py'
    module.write_text(SITE_MODULE.format(delay_s=delay_s))
    paths = (str(directory), os.environ.get('PYTHONPATH', ''))
    with patch.dict(os.environ, PYTHONPATH=os.pathsep.join(filter(None, paths))):
        yield
