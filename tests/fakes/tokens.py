"""Tokens that tell who made them.

A token's id is a hash of the prompt, the weight version and the token's index. Whoever
knows the prompt can therefore check for itself that a token was made with the version
that is claimed for it, and that none is missing, twice or out of place. A generation
that was not stopped by its length ends with `END_TOKEN_ID`, so that one that was cut
short is recognised.
"""

import hashlib
from collections.abc import Iterable, Sequence
from typing import Final

END_TOKEN_ID: Final = 0
N_TOKEN_IDS: Final = 50_000
PREFIX_BYTES: Final = 256
PREFIX_DIGITS: Final = 16


def token_id(prompt: str, weight_version: int, index: int) -> int:
    """Return the id, 1 or more, of the token at `index` of an answer to `prompt`."""
    text = f"{weight_version}:{index}:{prompt}"
    digest = hashlib.sha256(text.encode()).digest()
    return 1 + int.from_bytes(digest[:4]) % (N_TOKEN_IDS - 1)


def text_of(token_ids: Iterable[int]) -> str:
    """Return the text of some tokens."""
    return "".join("." if i == END_TOKEN_ID else f" {i}" for i in token_ids)


def prefix_digest(prompt: str) -> str:
    """Return the name that cache events give to the prompt's beginning."""
    prefix = prompt.encode()[:PREFIX_BYTES]
    return hashlib.sha256(prefix).hexdigest()[:PREFIX_DIGITS]


def find_fault(
    prompt: str,
    token_ids: Sequence[int],
    versions: Sequence[int | None],
    max_tokens: int,
) -> str | None:
    """Tell what is wrong with an answer; None if it is whole and truly described.

    Parameters
    ----------
    prompt : str
        What was asked.
    token_ids : sequence of int
        The tokens of the answer.
    versions : sequence of int or None
        The weight version claimed for each token.
    max_tokens : int
        The largest length that was asked for.
    """
    if len(versions) != len(token_ids):
        return f"{len(token_ids)} tokens, versions for {len(versions)}"
    if not token_ids:
        return "no tokens"
    for index, (claimed, found) in enumerate(zip(versions, token_ids, strict=True)):
        if claimed is None:
            return f"token {index} has no version"
        if found == END_TOKEN_ID and index == len(token_ids) - 1:
            return None
        if found != token_id(prompt, claimed, index):
            return f"token {index} was not made with version {claimed}"
    if len(token_ids) != max_tokens:
        return f"ends after {len(token_ids)} tokens without an end"
    return None
