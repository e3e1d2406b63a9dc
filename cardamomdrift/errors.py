"""
Errors
======

Exception types of this package.  Subclasses of `CallerError` reach the caller as a
MySQL error packet, with the code and SQLSTATE of the class.  An error is `NotRun` only
if it is proven that the request can have no effect; otherwise it is `OutcomeUnknown`.
"""


class CardamomdriftError(Exception):
    """Base class of all errors of this package."""


class SettingsError(CardamomdriftError):
    """The settings file is not valid; ``faults`` has one line for each fault."""

    def __init__(self, faults):
        super().__init__("\n".join(faults))
        self.faults = list(faults)


class BundleError(CardamomdriftError):
    """The bundle is not valid; ``faults`` has one line for each fault."""

    def __init__(self, faults):
        super().__init__("\n".join(faults))
        self.faults = list(faults)


class BundleConflict(CardamomdriftError):
    """Another operator rolled out the same version first."""

    def __init__(self, version, operator, digest):
        super().__init__(
            f"version {version} was rolled out by {operator} with digest {digest}"
        )
        self.version = version
        self.operator = operator
        self.digest = digest


class BundleNotSignedOff(CardamomdriftError):
    """The digest has no sign-off, so it cannot be rolled out."""


class PacketTooLarge(CardamomdriftError):
    """A received packet or line exceeds the size limit."""


class ReplacementFailed(CardamomdriftError):
    """A replacement ended before a new primary was in force."""


class PlatformUnavailable(CardamomdriftError):
    """A call of the platform failed or timed out; the effect of a write is unknown."""


class PlatformRefused(CardamomdriftError):
    """The platform answered with an error."""


class UpstreamError(CardamomdriftError):
    """Base class of the failures of an upstream connection."""


class UpstreamUnreachable(UpstreamError):
    """No connection could be opened, or it was closed already; nothing was sent."""


class UpstreamBusy(UpstreamError):
    """The instance has too many connections, or refused a query of the daemon."""


class UpstreamMismatch(UpstreamUnreachable):
    """Another instance than expected answers at the address; nothing was sent."""


class UpstreamLost(UpstreamError):
    """A connection broke or timed out after bytes may have been sent."""


class SessionStateRefused(UpstreamLost):
    """The instance refused a session's value before a statement that may have run."""


class StatementRefused(UpstreamError):
    """The instance answered the statement with an error.

    Attributes
    ----------
    code : int
        MySQL error number of the instance.
    message : str
        Error text of the instance.
    """

    def __init__(self, code, message):
        super().__init__(f"{code}: {message}")
        self.code = code
        self.message = message


class CallerError(CardamomdriftError):
    """Base class of the errors that reach callers."""

    code = 50000
    sqlstate = "HY000"

    def __init__(self, reason, retry_after=None):
        super().__init__(reason)
        self.reason = reason
        self.retry_after = retry_after

    def __str__(self):
        hint = (
            f" retry_after_ms={self.retry_after * 1000:.0f}" if self.retry_after else ""
        )
        return f"{type(self).__name__}: {self.reason}{hint}"


class NotRun(CallerError):
    """The request had no effect; it may be sent again."""

    code = 50001
    sqlstate = "40001"


class Overloaded(NotRun):
    """The request was refused because of load or too many retries; it did not run."""

    code = 50002


class DeadlinePassed(NotRun):
    """The deadline passed before the request was sent."""

    code = 50003


class NoPrimary(NotRun):
    """The group had no usable primary before the deadline."""

    code = 50004


class FloorUnknown(NotRun):
    """No majority answered, so the oldest position safe for the read is unknown."""

    code = 50005


class ShuttingDown(NotRun):
    """The daemon accepts no requests: it is shutting down or has no bundle yet."""

    code = 50006


class QuotaExceeded(NotRun):
    """The customer is over its rate limit."""

    code = 50008


class ProofExpired(NotRun):
    """The daemon cannot prove that its configuration is the newest one."""

    code = 50009


class TransactionLost(NotRun):
    """An open transaction was lost before its commit, so it was rolled back.

    Its connection broke, its instance is no longer the primary, an earlier statement
    failed, or it was idle for too long.
    """

    code = 50007


class OutcomeUnknown(CallerError):
    """The request may or may not have taken effect; retry it with its key."""

    code = 50010
    sqlstate = "08007"


class AnswerCut(CallerError):
    """The upstream failed during a result, so the rows sent are incomplete."""

    code = 50011
    sqlstate = "08S01"


class ReadFailed(CallerError):
    """No instance answered the read in time; it has no effect."""

    code = 50012
    sqlstate = "HYT00"


class BadRequest(CallerError):
    """The request is malformed or not allowed here; the statement was not run."""

    code = 50020
    sqlstate = "42000"


class UnknownClass(BadRequest):
    """The request names a class that the bundle does not have."""

    code = 50021


class BadToken(BadRequest):
    """The session token is malformed, forged or newer than its group."""

    code = 50022


class UnknownDatabase(BadRequest):
    """No group or route serves the database, or the request names none."""

    code = 50023


class UnknownStatement(BadRequest):
    """The session has prepared no statement with that name."""

    code = 50026


class AccessDenied(BadRequest):
    """The caller showed a key that no customer holds."""

    code = 50027
    sqlstate = "28000"


# Errors with which the guard of a customer's operation refuses to send a statement.
GUARD_ERRORS = (AccessDenied, QuotaExceeded, ProofExpired)


class KeyReused(BadRequest):
    """The idempotency key was used before for another statement."""

    code = 50024


class AlreadyDone(BadRequest):
    """A transaction with this key has been committed before."""

    code = 50025


class RefusedByInstance(CallerError):
    """Error of the upstream, passed on with its number and text.

    Attributes
    ----------
    code : int or str
    has_text : bool
        Whether the upstream gave a text, which may be empty.
    """

    def __init__(self, code, message):
        super().__init__(message or "")
        self.code = code
        self.has_text = message is not None

    def __str__(self):
        return self.reason


class SetupBusy(RefusedByInstance):
    """The upstream had no room to set up the session's state, and nothing ran."""


class ControlRecordError(CardamomdriftError):
    """A row of the daemons' own table cannot be decoded."""
