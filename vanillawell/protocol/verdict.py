"""Define the verdict on whether a request ran at a backend server."""

from __future__ import annotations

from enum import StrEnum


class Verdict(StrEnum):
    """Whether a request ran, as far as known after an attempt to send it.

    NOT_RUN requires proof: a refused connection, no byte written, or a refusal by the backend
    server itself. MAY_HAVE_RUN applies once a byte was sent and no complete answer arrived.
    """

    NOT_RUN = "not-run"
    RAN = "ran"
    MAY_HAVE_RUN = "may-have-run"
