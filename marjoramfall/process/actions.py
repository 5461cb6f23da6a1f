"""Define what the pure parts of a process ask its tasks to do."""

from dataclasses import dataclass

from marjoramfall.errors import RefusedError
from marjoramfall.messages import Message
from marjoramfall.request.grants import HeldGrant


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message to the member with this incarnation."""

    incarnation: str
    message: Message


@dataclass(frozen=True, slots=True)
class ResolveAsk:
    """Wake the request that waits for a grant."""

    request_id: str
    outcome: HeldGrant | RefusedError
