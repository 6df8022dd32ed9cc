"""Distinguish failed calls that had no effect from those that may have had one."""

from __future__ import annotations


class NotSentError(Exception):
    """The call had no effect: no byte of it was written, or the server says so."""


class NoAnswerError(Exception):
    """The call was sent, at least in part, and no complete answer arrived."""


class UnauthorizedError(NotSentError):
    """The server refused the caller's credentials (401), so the call had no effect."""
