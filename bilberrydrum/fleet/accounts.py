"""Client accounts, which identify the sender of a request by its API key.

Processes keep and exchange only digests of keys, so a process's memory, a log or a
stack trace reveals no key that could be used in a request.
"""

import hashlib
from collections.abc import Iterable
from typing import Final

import attrs

# Sixteen bytes of SHA-256 make it infeasible to find a key for a given digest, and
# 10,000 accounts with two keys each take 0.3 MB in a policy.
_DIGEST_BYTES: Final = 16


def digest_of(key: str) -> bytes:
    """Return the digest by which a key is looked up.

    A lookup by digest also takes the same time for all wrong keys, so its duration does
    not reveal how many characters of a guessed key are right.
    """
    return hashlib.sha256(key.encode("utf-8", "replace")).digest()[:_DIGEST_BYTES]


# The digest of a missing key. It must match no account.
NO_KEY: Final = digest_of("")


@attrs.frozen
class Account:
    """A client account."""

    name: str
    # Digests of the account's keys; several while a key is being rotated.
    key_digests: tuple[bytes, ...]
    # 0 is the most urgent. Requests are ordered by it first, then by route priority.
    priority: int = 0


class AccountTable:
    """A policy's accounts, indexed by name and by key digest."""

    def __init__(self, accounts: Iterable[Account]) -> None:
        self.accounts_by_name = {each.name: each for each in accounts}
        self._accounts_by_digest = {
            digest: account
            for account in self.accounts_by_name.values()
            for digest in account.key_digests
        }

    def find(self, key_digest: bytes) -> Account | None:
        """Return the account with this key digest, or None if there is none."""
        return self._accounts_by_digest.get(key_digest)


def faults(accounts: Iterable[Account]) -> list[str]:
    """Return all faults of the accounts of one policy."""
    found: list[str] = []
    names: set[str] = set()
    owners_by_digest: dict[bytes, str] = {}
    for account in accounts:
        if not account.name.strip():
            found.append("an account has no name")
        elif not (account.name.isascii() and account.name.isprintable()):
            # The name is sent to upstreams in a header of each request.
            found.append(f"account {account.name!r}: not printable ASCII")
        if account.name in names:
            found.append(f"two accounts are named {account.name!r}")
        names.add(account.name)
        for digest in account.key_digests:
            if digest == NO_KEY:
                found.append(f"account {account.name}: a key must not be empty")
                continue
            owner = owners_by_digest.setdefault(digest, account.name)
            if owner != account.name:
                found.append(f"accounts {owner} and {account.name} share a key")
    return found
