"""Set socket options that limit how long a dead connection goes undetected."""

from __future__ import annotations

import socket

USER_TIMEOUT_MS = 5_000
"""Milliseconds that sent data may stay unacknowledged (TCP_USER_TIMEOUT, RFC 5482)."""

KEEPALIVE_IDLE = 5
"""Idle seconds before the kernel probes the other end."""

KEEPALIVE_INTERVAL = 2
"""Seconds between two kernel probes."""

KEEPALIVE_PROBES = 3
"""Unanswered kernel probes after which a connection is dead."""

TCP_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
]
"""Options of every connection; accepted connections inherit them from the listening socket."""


def apply_tcp_options(target: socket.socket) -> None:
    """Set `TCP_OPTIONS` on a socket."""
    for level, option, value in TCP_OPTIONS:
        target.setsockopt(level, option, value)
