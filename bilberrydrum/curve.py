"""Load the daemon's CURVE keys for the transport."""

import result

from bilberrydrum import findings, keys, options, transport


def load(
    process_options: options.Options,
) -> result.Result[transport.CurveKeys | None, list[findings.Finding]]:
    """Read the key files that the options name.

    Returns
    -------
    result.Result
        The keys, None if the options name no files, or all findings of both files.
    """
    curve = process_options.curve
    if not curve.key_file:
        return result.Ok(None)
    pair = keys.read_pair(curve.key_file)
    peers = keys.read_peers(curve.peers_file)
    if isinstance(pair, result.Err) or isinstance(peers, result.Err):
        found = [*(pair.err() or ()), *(peers.err() or ())]
        return result.Err(findings.in_order(found))
    public = pair.ok_value.public.encode()
    keys_by_address = {
        address: key.encode() for address, key in peers.ok_value.peers.items()
    }
    known = keys_by_address.setdefault(process_options.peer_address, public)
    if known != public:
        # Peers would expect another key from this process and refuse its connections,
        # which looks like a network fault from here.
        message = (
            f"the key of {process_options.peer_address} is not the public key"
            f" in {curve.key_file}"
        )
        return result.Err([findings.Finding(curve.peers_file, 0, 0, message)])
    return result.Ok(
        transport.CurveKeys(public, pair.ok_value.secret.encode(), keys_by_address)
    )
