"""Check addresses of processes: ``IP:port``, with no host name."""

import ipaddress


def fault(address: str, is_wildcard_allowed: bool = False) -> str:
    """Return what is wrong with an ``IP:port``, or an empty string if it is valid.

    Parameters
    ----------
    address : str
        The address. It must have an IPv4 number, as all sockets are IPv4 sockets.
    is_wildcard_allowed : bool
        Whether 0.0.0.0, which stands for all addresses of the host, is valid.
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
