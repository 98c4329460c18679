"""Every error kind that amaranthslip raises on purpose.

Each message says what happened and what to do about it.
"""


class AmaranthslipError(Exception):
    """The base of every error kind here."""


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
    """All the mistakes of one settings file or document, together."""

    def derive(self, excs: list[Exception]) -> 'SettingsInvalid':
        return SettingsInvalid(self.message, excs)


class RequestRefused(AmaranthslipError):
    """A request that was not run, and never will be under this answer.

    Parameters
    ----------
    reason : str
        The word that counters and the answer's JSON body carry.
    message : str
        What happened and what the caller can do.
    status : int
        The HTTP status that the entry answers with.
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
    """A request that may have run: its answer is not known."""

    def __init__(self, reason: str, message: str) -> None:
        super().__init__(message)
        self.reason = reason


class RequestRepeated(AmaranthslipError):
    """An idempotency key that came before: not run a second time.

    Parameters
    ----------
    reason : str
        `in_progress` or `already_done`, for counters and the answer's body.
    message : str
        What is known of the first request and what the caller can do.
    retry_after : float or None
        Seconds after which more will be known.
    """

    status = 409

    def __init__(
        self, reason: str, message: str, *, retry_after: float | None = None
    ) -> None:
        super().__init__(message)
        self.reason = reason
        self.retry_after = retry_after


class PlatformError(AmaranthslipError):
    """The platform's service gave no usable answer."""


class PlatformUnavailable(PlatformError):
    """The call surely had no effect: no connection was made."""


class AnswerLost(PlatformError):
    """The call may have taken effect: its answer did not arrive."""


class PlatformRefused(PlatformError):
    """The service refused the call itself, which had no effect."""


class HistoryLost(PlatformError):
    """The service no longer holds the changes that a watch asked for."""


class ConfigurationConflict(AmaranthslipError):
    """Another writer's version was accepted first; this one was not applied.

    Parameters
    ----------
    message : str
        Both versions, and what to do.
    base, current : int
        The version that the submission was made from, and the accepted one.
    difference : differences.Difference or None
        What the submission would change in the accepted version.
    theirs : differences.Difference or None
        What the accepted version changed since the base, if that is known.
    """

    def __init__(
        self,
        message: str,
        *,
        base: int,
        current: int,
        difference: object = None,
        theirs: object = None,
    ) -> None:
        super().__init__(message)
        self.base = base
        self.current = current
        self.difference = difference
        self.theirs = theirs


class MessageInvalid(AmaranthslipError):
    """Bytes from a peer that are no message of this version."""


class ConfigurationRefused(AmaranthslipError):
    """A submission that surely did not take effect, and why.

    `reason` is the word that counters and the API's answer carry.
    """

    def __init__(self, reason: str, message: str) -> None:
        super().__init__(message)
        self.reason = reason


class ConfigurationUnknown(AmaranthslipError):
    """A submission that may have been accepted: the answer was lost.

    `submission` is its random id: whether the manifest or its history shows
    that id is how to find out.
    """

    def __init__(self, message: str, *, submission: str, version: int) -> None:
        super().__init__(message)
        self.submission = submission
        self.version = version


class ConfigurationDamaged(AmaranthslipError):
    """A stored or received version that can't be read whole."""


class BackendFailed(AmaranthslipError):
    """A backend server gave no whole answer to one try of a request.

    Parameters
    ----------
    reason : str
        The word that counters carry.
    message : str
        What happened and what the caller can do.
    sent : bool
        Whether a byte of the request may have left; False is certain.
    status : int
        The HTTP status that fits when no retry is left.
    """

    def __init__(
        self, reason: str, message: str, *, sent: bool, status: int = 502
    ) -> None:
        super().__init__(message)
        self.reason = reason
        self.sent = sent
        self.status = status


class RouterUnreachable(AmaranthslipError):
    """No connection to a router's operators' port could be made."""


class OperatorRefused(AmaranthslipError):
    """The operator's name, password or role does not allow the request."""
