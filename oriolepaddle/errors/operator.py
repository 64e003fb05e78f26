"""Errors of operator input (settings, tickets, tokens) and of the platform."""

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
    """The ticket violates the schema and is rejected as a whole."""

    default_code = ErrorCode.TICKET_INVALID


class PlatformUnavailableError(OriolepaddleError):
    """The platform did not answer, or answered with an error."""

    default_code = ErrorCode.PLATFORM_UNAVAILABLE


class PermissionDeniedError(OriolepaddleError):
    """An operator's call has no valid token."""

    default_code = ErrorCode.PERMISSION_DENIED
