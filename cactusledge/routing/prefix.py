"""Chained hashes of the chunks of a prompt."""

import hashlib

CHUNK_TOKENS = 256
CHARACTERS_PER_TOKEN = 4
HASH_BYTES = 8
_CHUNK_CHARACTERS = CHUNK_TOKENS * CHARACTERS_PER_TOKEN


def prefix_chain(prompt: str) -> tuple[int, ...]:
    """Returns one hash per complete chunk, each over all text up to its end."""
    whole = len(prompt) // _CHUNK_CHARACTERS
    hasher = hashlib.blake2b(digest_size=HASH_BYTES)
    chain = []
    for index in range(whole):
        start = index * _CHUNK_CHARACTERS
        hasher.update(prompt[start : start + _CHUNK_CHARACTERS].encode())
        chain.append(int.from_bytes(hasher.copy().digest()))
    return tuple(chain)


def estimate_tokens(prompt: str) -> int:
    """Returns the approximate number of tokens of a text."""
    return -(-len(prompt) // CHARACTERS_PER_TOKEN)
