"""Say whether a request may have run at a backend server."""

from __future__ import annotations

from enum import StrEnum


class Verdict(StrEnum):
    """What is known about a request after an attempt.

    Only a proof gives NOT_RUN: a refused connection, no byte written, or the backend server's
    own refusal. Once a byte has gone out and no whole answer came back, it is MAY_HAVE_RUN.
    """

    NOT_RUN = "not-run"
    RAN = "ran"
    MAY_HAVE_RUN = "may-have-run"
