"""Tell status codes of HTTP from other numbers."""

FIRST_STATUS = 100
LAST_STATUS = 599


def is_status(code: int) -> bool:
    """Return whether HTTP defines a class of responses for the code."""
    return FIRST_STATUS <= code <= LAST_STATUS
