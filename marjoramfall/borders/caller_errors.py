"""Define why a caller's request is refused before it is scheduled."""

from marjoramfall.errors import InvalidRequestError, MarjoramfallError, RefusedError


class UnauthorizedError(InvalidRequestError):
    """Report a missing or unknown bearer key."""

    code = 'unauthorized'
    http_status = 401


class UnknownTierError(InvalidRequestError):
    """Report a tier that the configuration does not have."""

    code = 'unknown_tier'


class TierNotAllowedError(InvalidRequestError):
    """Report a request for a higher tier than the team has."""

    code = 'tier_not_allowed'
    http_status = 403


class UnknownServiceError(InvalidRequestError):
    """Report a service that does not exist or is of the other kind."""

    code = 'unknown_service'
    http_status = 404


class UnknownPathError(InvalidRequestError):
    """Report a path that is no endpoint."""

    code = 'unknown_path'
    http_status = 404


class MethodNotAllowedError(InvalidRequestError):
    """Report a method that the endpoint does not take."""

    code = 'method_not_allowed'
    http_status = 405


class UnreadBodyError(InvalidRequestError):
    """Report a body that was not read to its end; the connection must close.

    What follows on the connection could not be told from a next request.
    """

    code = 'unread_body'


class BodyTooLargeError(UnreadBodyError):
    """Report a body above the limit in bytes."""

    code = 'body_too_large'
    http_status = 413


class HeadersTooLargeError(InvalidRequestError):
    """Report headers above the limit in bytes."""

    code = 'headers_too_large'
    http_status = 431


class BodyTimeoutError(UnreadBodyError):
    """Report a body that did not arrive in time."""

    code = 'body_timeout'
    http_status = 408


class IncompleteBodyError(UnreadBodyError):
    """Report a body that ended before its announced length."""

    code = 'incomplete_body'


class NotReadyError(RefusedError):
    """Report an entry that must not serve now."""

    code = 'not_ready'


class CallerWriteTimeoutError(MarjoramfallError):
    """Report a caller that did not read its response in time."""

    code = 'caller_write_timeout'
    http_status = 499
