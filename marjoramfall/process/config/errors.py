"""Define the errors of configuration changes and of the log."""

from marjoramfall.errors import InvalidRequestError, MarjoramfallError, RunState


class ConfigChangeError(InvalidRequestError):
    """Report a change that was refused and not written."""

    code = 'invalid_change'


class UnknownReferenceError(ConfigChangeError):
    """Report a change that names an entity which does not exist."""

    code = 'unknown_reference'


class EntityNotFoundError(ConfigChangeError):
    """Report that the entity to read, change or delete does not exist."""

    code = 'not_found'
    http_status = 404


class StillReferencedError(ConfigChangeError):
    """Report that an entity cannot be deleted because others refer to it."""

    code = 'still_referenced'
    http_status = 409


class MoveRunningError(ConfigChangeError):
    """Report a change that is not allowed while a move of the service runs."""

    code = 'move_running'
    http_status = 409


class RevisionConflictError(ConfigChangeError):
    """Report that another change was written after the base revision."""

    code = 'revision_conflict'
    http_status = 409


class ChangeIdReusedError(ConfigChangeError):
    """Report a change id that was already used for another change."""

    code = 'change_id_reused'
    http_status = 409


class ChangeOutcomeUnknownError(MarjoramfallError):
    """Report a lost answer of the store: the change may have been written.

    Repeating the change with the same change id is safe.
    """

    code = 'change_outcome_unknown'
    http_status = 503
    run_state = RunState.UNKNOWN


class ConfigLogError(MarjoramfallError):
    """Report a log record or a snapshot that cannot be used."""

    code = 'config_log_failed'


class MalformedRecordError(ConfigLogError):
    """Report a log record that cannot be decoded."""

    code = 'malformed_log_record'


class ContradictingRecordError(ConfigLogError):
    """Report two different log records of the same revision."""

    code = 'contradicting_log_record'
