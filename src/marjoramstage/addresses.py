"""Addresses of the form ``ip:port`` or ``[ip6]:port``."""

from __future__ import annotations

import ipaddress

MAX_PORT = 65_535


def split_address(address: str) -> tuple[str, int]:
    """Return the IP text and port of an address.

    Raises
    ------
    ValueError
        The text is not an IP address with a port.
    """
    host, _, port = address.rpartition(":")
    bracketed = host.startswith("[") and host.endswith("]")
    ip = ipaddress.ip_address(host[1:-1] if bracketed else host)
    if bracketed != (ip.version == 6):
        raise ValueError("an IPv6 address is written in brackets")
    if not port.isascii() or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError("a port is a number from 0 to 65535")
    return str(ip), int(port)


def join_address(ip: str, port: int) -> str:
    """Return ``ip:port``, with an IPv6 address in brackets."""
    return f"[{ip}]:{port}" if ":" in ip else f"{ip}:{port}"


def is_loopback(address: str) -> bool:
    """Return whether ``address`` is reachable only from the same machine."""
    return ipaddress.ip_address(split_address(address)[0]).is_loopback


def addresses_conflict(one: str, other: str) -> bool:
    """Return whether two sockets cannot listen on these addresses together."""
    ip, port = split_address(one)
    other_ip, other_port = split_address(other)
    if port == 0 or port != other_port:
        return False
    if ip == other_ip:
        return True
    ips = (ipaddress.ip_address(ip), ipaddress.ip_address(other_ip))
    return any(found.is_unspecified for found in ips)
