"""Set the faults of a stand-in while it runs."""

import random

import msgspec

from marjoramfall_standins.http import Response, decode_json, json_response


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Be the base of every set of faults; a change replaces only named ones."""

    def change(self, body: bytes) -> Response:
        """Set the faults named in a JSON object and report all of them."""
        changed = {**msgspec.structs.asdict(self), **decode_json(body, dict)}
        checked = decode_json(msgspec.json.encode(changed), type(self))
        for name, value in msgspec.structs.asdict(checked).items():
            setattr(self, name, value)
        return json_response(self)


class FaultDice:
    """Decide by a seeded generator whether a request fails."""

    def __init__(self) -> None:
        self._seed: int | None = None
        self._random = random.Random()

    def strikes(self, rate: float, seed: int) -> bool:
        """Return True in a share of `rate` of the calls."""
        if self._seed != seed:
            self._seed = seed
            self._random.seed(seed)
        return self._random.random() < rate
