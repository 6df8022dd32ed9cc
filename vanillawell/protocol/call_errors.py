"""Tell calls that had no effect from calls that may have had one."""

from __future__ import annotations


class NotSentError(Exception):
    """The call had no effect: no byte of it was written, or the other end says so."""


class NoAnswerError(Exception):
    """The call went out, at least in part, and no whole answer came back."""


class UnauthorizedError(NotSentError):
    """The other end refused who calls (401), so the call had no effect."""
