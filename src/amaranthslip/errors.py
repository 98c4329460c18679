"""The exceptions that amaranthslip raises.

Each message states what happened and how to resolve the problem.
"""


class AmaranthslipError(Exception):
    """The base class of all exceptions in this module."""


class SettingError(AmaranthslipError):
    """One mistake in a settings file or a configuration document."""

    def __init__(
        self, source: str, key: str, found: object, allowed: str
    ) -> None:
        super().__init__(
            f'{source}: {key}: found {found!r}; allowed: {allowed}'
        )
        self.source = source
        self.key = key
        self.found = found
        self.allowed = allowed


class SettingsInvalid(ExceptionGroup):
    """All mistakes in one settings file or document."""

    def derive(self, excs: list[Exception]) -> 'SettingsInvalid':
        return SettingsInvalid(self.message, excs)


class RequestRefused(AmaranthslipError):
    """A request that was not run and will not be run by this system.

    Parameters
    ----------
    reason : str
        The reason in counters and in the answer's JSON body.
    message : str
        What happened and what the caller can do.
    status : int
        The HTTP status of the answer.
    retry_after : float or None
        Seconds after which a retry makes sense.
    """

    def __init__(
        self,
        reason: str,
        message: str,
        *,
        status: int = 503,
        retry_after: float | None = None,
    ) -> None:
        super().__init__(message)
        self.reason = reason
        self.status = status
        self.retry_after = retry_after


class OutcomeUnknown(AmaranthslipError):
    """A request that may have run and whose answer is not known."""

    def __init__(self, reason: str, message: str) -> None:
        super().__init__(message)
        self.reason = reason


class RequestRepeated(AmaranthslipError):
    """A request that was not run because its idempotency key was used before.

    Parameters
    ----------
    reason : str
        `in_progress` or `already_done`, in counters and the answer's body.
    message : str
        The state of the first request and what the caller can do.
    retry_after : float or None
        Seconds after which the state of the first request may have changed.
    """

    status = 409

    def __init__(
        self, reason: str, message: str, *, retry_after: float | None = None
    ) -> None:
        super().__init__(message)
        self.reason = reason
        self.retry_after = retry_after


class PlatformError(AmaranthslipError):
    """A service of the platform gave no usable answer."""


class PlatformUnavailable(PlatformError):
    """The call had no effect.

    No connection could be made, or the service refused the call with status
    429 or 503. A read also raises this error if its answer was lost.
    """


class AnswerLost(PlatformError):
    """The call may have taken effect, but its answer did not arrive."""


class PlatformRefused(PlatformError):
    """The service refused the call as invalid; the call had no effect."""


class HistoryLost(PlatformError):
    """The service no longer stores the changes that a watch requested."""


class ConfigurationConflict(AmaranthslipError):
    """Another writer's version was accepted first; this one was not applied.

    Parameters
    ----------
    message : str
        The two versions, and how to resolve the conflict.
    base, current : int
        The version on which the submission is based, and the accepted one.
    difference : differences.Difference or None
        The changes of the submission relative to the accepted version.
    changes_since_base : differences.Difference or None
        The changes from the base to the accepted version, if known.
    """

    def __init__(
        self,
        message: str,
        *,
        base: int,
        current: int,
        difference: object = None,
        changes_since_base: object = None,
    ) -> None:
        super().__init__(message)
        self.base = base
        self.current = current
        self.difference = difference
        self.changes_since_base = changes_since_base


class MessageInvalid(AmaranthslipError):
    """Bytes from a peer that are not a valid message of this version."""


class ConfigurationRefused(AmaranthslipError):
    """A submission that did not take effect.

    `reason` is the reason in counters and in the API's answer.
    """

    def __init__(self, reason: str, message: str) -> None:
        super().__init__(message)
        self.reason = reason


class ConfigurationOutcomeUnknown(AmaranthslipError):
    """A submission that may have been accepted, because the answer was lost.

    `submission` is the submission's random id. The submission was accepted
    if the manifest or its history contains this id.
    """

    def __init__(self, message: str, *, submission: str, version: int) -> None:
        super().__init__(message)
        self.submission = submission
        self.version = version


class ConfigurationDamaged(AmaranthslipError):
    """A stored or received version that can't be decoded completely."""


class EntryUnreadable(AmaranthslipError):
    """The value of an entry of the platform's store can't be decoded."""


class BackendFailed(AmaranthslipError):
    """A backend server gave no complete answer to one try of a request.

    Parameters
    ----------
    reason : str
        The reason in counters.
    message : str
        What happened and what the caller can do.
    sent : bool
        Whether any byte of the request may have been sent. False means that
        none was.
    status : int
        The HTTP status of the answer if the request is not retried.
    """

    def __init__(
        self, reason: str, message: str, *, sent: bool, status: int = 502
    ) -> None:
        super().__init__(message)
        self.reason = reason
        self.sent = sent
        self.status = status


class RouterUnreachable(AmaranthslipError):
    """No connection to the operators' port of a router could be made."""


class OperatorRefused(AmaranthslipError):
    """The operator's name, password or role does not permit the request."""
