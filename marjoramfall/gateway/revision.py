"""Order what the store keeps by when it was written, also across its restorations.

A restored store gives out again the revisions that it has lost. A revision in this
project therefore holds the store's era, which rises by each restoration, above the
number that the store gave.
"""

# More transactions than a store makes in one era.
NUMBERS_PER_ERA = 2**40


def make_revision(era: int, number: int) -> int:
    """Return the revision that a store gave out as `number` in an era."""
    return era * NUMBERS_PER_ERA + number


def era_of(revision: int) -> int:
    """Return the era of a revision; 0 if the store names none."""
    return revision // NUMBERS_PER_ERA


def number_of(revision: int) -> int:
    """Return the number that the store itself gave to a revision."""
    return revision % NUMBERS_PER_ERA
