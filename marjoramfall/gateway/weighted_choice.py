"""Choose at random by weight."""

import random


def pick_weighted(weights: list[float]) -> int:
    """Return a random index, chosen in proportion to the weights."""
    return random.choices(range(len(weights)), weights)[0]
