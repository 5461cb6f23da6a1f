"""Say which orders may go to backend servers that do not check fencing."""

from enum import StrEnum

from marjoramfall.errors import RefusedError
from marjoramfall.model import BackendServer
from marjoramfall.version.lease import Lease


class OrderKind(StrEnum):
    """Name what a backend server can be ordered to do."""

    LOAD_MODEL = 'load_model'
    LOAD_ADAPTER = 'load_adapter'
    LOAD_VERSION = 'load_version'
    UNLOAD = 'unload'
    CHANGE_ROLE = 'change_role'


# Loading adds something that gets no traffic before the configuration says so,
# and loading it again changes nothing. Unloading and a change of role take
# something away, which a late order would do to a later holder's decision.
SAFE_WITHOUT_FENCING = frozenset(
    (OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER, OrderKind.LOAD_VERSION)
)


class LeaseNotHeldError(RefusedError):
    """Report an order that was not sent, as the lease is not valid."""

    code = 'lease_not_held'


class UnfencedOrderError(RefusedError):
    """Report an order that a server without fencing checks must not get."""

    code = 'unfenced_order'


def fencing_token(order: OrderKind, server: BackendServer, lease: Lease) -> int:
    """Return the token to send with an order; call it just before sending.

    Raises `LeaseNotHeldError` or `UnfencedOrderError`. An order that is
    delayed in the network may still arrive after the lease ran out: a server
    that checks fencing refuses it, any other gets only harmless ones.
    """
    if not lease.is_valid():
        raise LeaseNotHeldError(f'no valid lease for {order} to {server.server_id}')
    if server.checks_fencing or order in SAFE_WITHOUT_FENCING:
        return lease.token
    raise UnfencedOrderError(f'{server.server_id} does not check fencing: {order}')
