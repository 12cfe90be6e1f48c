"""Tell whether two requests ask for the same work, whatever their ids.

A caller that comes back gives each attempt an id of its own. What stays is whom and
what it asks: method, host, path and query, who it is, and the body.
"""

import hashlib

# Digest size: two different requests out of 2**32 have the same one with a chance of
# 2**-64, and it is short enough to be told to every process.
_DIGEST_BYTES = 16


def of_request(
    method: str,
    host: str,
    target: str,
    identity: str,
    body: bytes,
    account: str = "",
) -> str:
    """Return the fingerprint of a request.

    Parameters
    ----------
    method : str
        Its method.
    host : str
        The host that it names; case does not matter.
    target : str
        Path and query as the caller wrote them.
    identity : str
        Who asks, and whatever else its headers say of the work.
    body : bytes
        Its whole body.
    account : str
        The account that it belongs to; empty: none.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (method, host.lower(), target, identity, account):
        data = part.encode()
        # With its length, so that no two lists of parts look alike.
        digest.update(b"%d:" % len(data))
        digest.update(data)
    digest.update(body)
    return digest.hexdigest()
