"""Errors in what operators write: settings, tickets, tokens."""

from oriolepaddle.errors.base import OriolepaddleError
from oriolepaddle.errors.code import ErrorCode

__all__ = [
    "PermissionDeniedError",
    "PlatformUnavailableError",
    "SettingsError",
    "TicketError",
]


class SettingsError(OriolepaddleError):
    """One or more settings are missing or out of range."""

    default_code = ErrorCode.SETTINGS_INVALID


class TicketError(OriolepaddleError):
    """A ticket that breaks the schema and is rejected whole."""

    default_code = ErrorCode.TICKET_INVALID


class PlatformUnavailableError(OriolepaddleError):
    """The platform did not answer, or answered with an error."""

    default_code = ErrorCode.PLATFORM_UNAVAILABLE


class PermissionDeniedError(OriolepaddleError):
    """An operator's call without the right token."""

    default_code = ErrorCode.PERMISSION_DENIED
