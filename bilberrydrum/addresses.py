"""Addresses of processes: ``IP:port``, without host names."""

import ipaddress


def fault(address: str, is_wildcard_allowed: bool = False) -> str:
    """Return what is wrong with an ``IP:port``; empty if nothing is.

    Parameters
    ----------
    address : str
        The address; an IPv6 number stands in brackets.
    is_wildcard_allowed : bool
        Whether the address may stand for all of the host's own addresses.
    """
    host, separator, port = address.rpartition(":")
    if not separator:
        return f"must be IP:port, found {address!r}"
    if not (port.isascii() and port.isdigit() and 1 <= int(port[:6]) <= 65535):
        return f"must end in a port from 1 to 65535, found {port!r}"
    is_bracketed = host.startswith("[") and host.endswith("]")
    try:
        number = ipaddress.ip_address(host[1:-1] if is_bracketed else host)
    except ValueError:
        return f"must begin with an IP number, found {host!r}"
    if is_bracketed != (number.version == 6):
        return "must have brackets round an IPv6 number, and round no other"
    if number.is_unspecified and not is_wildcard_allowed:
        return "must be an address that other processes can reach"
    return ""
