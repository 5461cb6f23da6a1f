"""Compare measured values with the bounds that guard against regressions."""


class BoundExceededError(RuntimeError):
    """Report a measured value beyond its bound."""


def check_at_most(name: str, measured: float, bound: float) -> None:
    """Raise `BoundExceededError` if a value is greater than its bound."""
    if measured > bound:
        raise BoundExceededError(f'{name}: {measured:.4g} is over {bound:.4g}')
