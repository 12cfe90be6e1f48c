"""Fingerprints of requests, the same for requests for the same work.

A caller that retries gives each attempt an id of its own. The fingerprint depends only
on what stays the same: method, host, path and query, the caller, and the body.
"""

import hashlib

# Among 2**32 different requests, the probability that any two have the same digest is
# about 2**-64. The digest is short enough to be sent to every process.
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
        The HTTP method.
    host : str
        The requested host; case does not matter.
    target : str
        Path and query, as the caller sent them.
    identity : str
        Who sends it, and whatever else in its headers determines the work.
    body : bytes
        The complete body.
    account : str
        The client account that it belongs to; empty if it has none.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (method, host.lower(), target, identity, account):
        data = part.encode()
        # The length comes first. Without it, different lists of parts could
        # concatenate to the same bytes.
        digest.update(b"%d:" % len(data))
        digest.update(data)
    digest.update(body)
    return digest.hexdigest()
