"""Restrict orders to backend servers that do not check fencing tokens."""

from enum import StrEnum

from marjoramfall.errors import RefusedError
from marjoramfall.model import BackendServer
from marjoramfall.version.lease import Lease


class OrderKind(StrEnum):
    """List the orders that can be sent to a backend server."""

    LOAD_MODEL = 'load_model'
    LOAD_ADAPTER = 'load_adapter'
    LOAD_VERSION = 'load_version'
    UNLOAD = 'unload'
    CHANGE_ROLE = 'change_role'


# A late load order does no harm: what it loads gets no traffic until the
# configuration says so, and loading is idempotent. A late order to unload or to
# change the role would revert a decision of a later lease holder.
SAFE_WITHOUT_FENCING = frozenset(
    (OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER, OrderKind.LOAD_VERSION)
)


class LeaseNotHeldError(RefusedError):
    """Report an order that was not sent because the lease is not valid."""

    code = 'lease_not_held'


class UnfencedOrderError(RefusedError):
    """Report an order that is unsafe for a server without fencing checks."""

    code = 'unfenced_order'


def fencing_token(order: OrderKind, server: BackendServer, lease: Lease) -> int:
    """Return the fencing token for an order; call it just before sending.

    Raises `LeaseNotHeldError` or `UnfencedOrderError`. An order that is
    delayed in the network may arrive after the lease has expired. A server
    that checks fencing tokens refuses it; any other server is sent only orders
    that are safe when late.
    """
    if not lease.is_valid():
        raise LeaseNotHeldError(f'no valid lease for {order} to {server.server_id}')
    if server.checks_fencing or order in SAFE_WITHOUT_FENCING:
        return lease.token
    raise UnfencedOrderError(f'{server.server_id} does not check fencing: {order}')
