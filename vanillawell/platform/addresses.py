"""Parse addresses of the platform, which are IPv4 numbers with a port."""

from __future__ import annotations

import ipaddress
import re

PORT = re.compile(r"[0-9]{1,5}", re.ASCII)

MAX_PORT = 65_535


def parse_address(address: str) -> tuple[str, int]:
    """Return the host and the port of an address; the platform resolves no names.

    Raises:
        ValueError: It is none. `str.isdigit` and `int` do not agree on what a number is, and
            connecting to anything else raises errors that depend on the event loop.
    """
    host, _, port = address.rpartition(":")
    if not PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"address {address!r} has no port")
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        raise ValueError(f"address {address!r} has no host") from error
    return host, int(port)
