"""Fake tokens whose ids show how they were generated.

A token's id is a hash of the prompt, the weight version and the token's index. So given
the prompt, a test can check that each token was generated with the weight version that
is claimed for it, and that no token is missing, duplicated or out of order. A
generation that did not reach its maximum length ends with `END_TOKEN_ID`, so that a
truncated one is recognised.
"""

import hashlib
from collections.abc import Iterable, Sequence
from typing import Final

END_TOKEN_ID: Final = 0
N_TOKEN_IDS: Final = 50_000
PREFIX_BYTES: Final = 256
PREFIX_DIGITS: Final = 16


def token_id(prompt: str, weight_version: int, index: int) -> int:
    """Return the id of the token at `index` of an answer to `prompt`; at least 1."""
    text = f"{weight_version}:{index}:{prompt}"
    digest = hashlib.sha256(text.encode()).digest()
    return 1 + int.from_bytes(digest[:4]) % (N_TOKEN_IDS - 1)


def text_of(token_ids: Iterable[int]) -> str:
    """Return the text of tokens."""
    return "".join("." if i == END_TOKEN_ID else f" {i}" for i in token_ids)


def prefix_digest(prompt: str) -> str:
    """Return the digest by which cache events identify the prefix of a prompt."""
    prefix = prompt.encode()[:PREFIX_BYTES]
    return hashlib.sha256(prefix).hexdigest()[:PREFIX_DIGITS]


def find_fault(
    prompt: str,
    token_ids: Sequence[int],
    versions: Sequence[int | None],
    max_tokens: int,
) -> str | None:
    """Return what is wrong with an answer; None if it is complete and correct.

    Parameters
    ----------
    prompt : str
        The prompt of the request.
    token_ids : sequence of int
        The tokens of the answer.
    versions : sequence of int or None
        The weight version claimed for each token.
    max_tokens : int
        The requested maximum number of tokens.
    """
    if len(versions) != len(token_ids):
        return f"got {len(token_ids)} tokens but {len(versions)} weight versions"
    if not token_ids:
        return "no tokens"
    for index, (claimed, found) in enumerate(zip(versions, token_ids, strict=True)):
        if claimed is None:
            return f"token {index} has no weight version"
        if found == END_TOKEN_ID and index == len(token_ids) - 1:
            return None
        if found != token_id(prompt, claimed, index):
            return f"token {index} was not generated with weight version {claimed}"
    if len(token_ids) != max_tokens:
        return f"no end token, and {len(token_ids)} of {max_tokens} tokens"
    return None
