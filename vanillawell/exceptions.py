"""Define every error that the product raises, under one base."""

from __future__ import annotations


class VanillawellError(Exception):
    """Base of all errors; its text is one clear line for the user."""

    exit_status = 1
    """Status with which the command line ends when this error reaches it."""


class SettingsError(VanillawellError):
    """A settings file or an operators' tree is malformed or fails a check."""

    exit_status = 2


class AddressInUseError(VanillawellError):
    """A listening address cannot be bound."""

    exit_status = 3


class StoreError(VanillawellError):
    """A call to the platform's store did not succeed."""

    exit_status = 4


class StoreUnavailableError(StoreError):
    """The store was not reached, so the call had no effect."""


class StoreOutcomeUnknownError(StoreError):
    """The call may have taken effect: it went out and no answer came back."""


class LeaseEndedError(StoreUnavailableError):
    """A write named a lease that has ended, so nothing was written."""


class HistoryGoneError(StoreUnavailableError):
    """The store no longer keeps the changes that were asked for."""


class StoreAccessError(StoreUnavailableError):
    """The store refused the user or the password, so the call had no effect."""

    exit_status = 7


class ConflictError(VanillawellError):
    """Another operator changed the configuration first."""

    exit_status = 5


class RolloutTimeoutError(VanillawellError):
    """Some entries did not confirm a configuration in time."""

    exit_status = 6


class NotInLogsError(VanillawellError):
    """No line of the logs names the job or request that was asked for."""

    exit_status = 8


class PeerProtocolError(VanillawellError):
    """A peer sent bytes that are no message of ours."""
