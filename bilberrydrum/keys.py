"""Key files for encrypted connections between the system's processes (CURVE).

Each process has a key file with its public and its secret key. A peers file, the same
on every process, names the public key of each process by its peer address. Both are
YAML; keys are Z85 text of 40 characters.
"""

import os
import struct
from typing import Final

import attrs
import result
import zmq
import zmq.utils.z85 as z85

from bilberrydrum import addresses, findings, yaml_places

# Characters of a 32-byte key in Z85.
KEY_LENGTH: Final = 40
# Mode of a key file: only the owner may read the secret key.
_MODE: Final = 0o600
_GROUP_AND_OTHERS: Final = 0o077

_HEADER: Final = (
    "# CURVE keys of one process. Keep this file secret; only the public key goes\n"
    "# into the peers file.\n"
)


@attrs.frozen
class KeyPair:
    """The keys of one process, in Z85."""

    public: str
    secret: str = attrs.field(repr=False)


@attrs.frozen
class Peers:
    """Public keys of the processes that may connect, by peer address."""

    peers: dict[str, str]


def generate() -> KeyPair:
    """Return a new key pair."""
    public, secret = zmq.curve_keypair()
    return KeyPair(public.decode(), secret.decode())


def write(path: str, pair: KeyPair) -> result.Result[None, findings.Finding]:
    """Write a new key file that only its owner can read; never replace a file."""
    # Z85 text contains neither quotes nor backslashes, so it needs no escaping.
    text = f'{_HEADER}public: "{pair.public}"\nsecret: "{pair.secret}"\n'
    # If a file were overwritten, a key that peers already use would be lost.
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    try:
        descriptor = os.open(path, flags, _MODE)
        with open(descriptor, "w", encoding="ascii") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
    except OSError as error:
        message = f"cannot be written: {error.strerror}"
        return result.Err(findings.Finding(path, 0, 0, message))
    return result.Ok(None)


def read_pair(path: str) -> result.Result[KeyPair, list[findings.Finding]]:
    """Read a key file; report it if anyone but its owner may read it."""
    outcome = yaml_places.read_file(path, KeyPair)
    if isinstance(outcome, result.Err):
        return outcome
    reading = outcome.ok_value
    for name in ("public", "secret"):
        if not is_key(getattr(reading.value, name)):
            reading.report(_key_rule(name), (name,))
    # Anyone who can read the secret key can impersonate this process.
    if os.stat(path).st_mode & _GROUP_AND_OTHERS:
        reading.report("others than its owner may access this file; use chmod 600", ())
    return reading.finish()


def read_peers(path: str) -> result.Result[Peers, list[findings.Finding]]:
    """Read a peers file."""
    outcome = yaml_places.read_file(path, Peers)
    if isinstance(outcome, result.Err):
        return outcome
    reading = outcome.ok_value
    addresses_by_key: dict[str, str] = {}
    for address, key in reading.value.peers.items():
        path_of_key = ("peers", address)
        if fault := addresses.fault(address):
            reading.report(f"peer address {fault}", path_of_key)
        if not is_key(key):
            reading.report(_key_rule(f"the key of {address}"), path_of_key)
        elif key in addresses_by_key:
            other = addresses_by_key[key]
            reading.report(f"this key belongs to {other} already", path_of_key)
        addresses_by_key[key] = address
    return reading.finish()


def is_key(text: str) -> bool:
    """Return whether `text` is a key in Z85."""
    if len(text) != KEY_LENGTH:
        return False
    try:
        z85.decode(text)
    except (ValueError, KeyError, struct.error):
        return False
    return True


def _key_rule(what: str) -> str:
    return f"{what} must be {KEY_LENGTH} characters of Z85"
