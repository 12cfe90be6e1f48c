"""Addresses of processes: ``IP:port``, without host names."""

import ipaddress


def fault(address: str, is_wildcard_allowed: bool = False) -> str:
    """Return what is wrong with an ``IP:port``; empty if nothing is.

    Parameters
    ----------
    address : str
        The address, with an IPv4 number: the sockets are opened for IPv4 alone.
    is_wildcard_allowed : bool
        Whether the address may stand for all of the host's own addresses.
    """
    host, separator, port = address.rpartition(":")
    if not separator:
        return f"must be IP:port, found {address!r}"
    if not (port.isascii() and port.isdigit() and 1 <= int(port[:6]) <= 65535):
        return f"must end in a port from 1 to 65535, found {port!r}"
    try:
        number = ipaddress.IPv4Address(host)
    except ValueError:
        return f"must begin with an IPv4 number, found {host!r}"
    if number.is_unspecified and not is_wildcard_allowed:
        return "must be an address that other processes can reach"
    return ""
