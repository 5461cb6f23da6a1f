"""Bound the numbers that messages between entries hold."""

from typing import Annotated

import msgspec

# Whole numbers that any encoding of a message holds.
MAX_COUNT = 2**63 - 1
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
WholeNumber = Annotated[int, msgspec.Meta(ge=-MAX_COUNT, le=MAX_COUNT)]
# Sums and products of such amounts stay finite, and fit into messages as whole numbers.
MAX_AMOUNT = 2**53
Amount = Annotated[float, msgspec.Meta(ge=-MAX_AMOUNT, le=MAX_AMOUNT)]
