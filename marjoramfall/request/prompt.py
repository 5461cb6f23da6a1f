"""Estimate the work of a prompt and name its prefixes."""

import xxhash

CHARACTERS_PER_TOKEN = 4
BLOCK_BYTES = 256
# Bounds the size of an ask for a grant; 64 blocks are about 4,000 tokens.
MAX_BLOCKS = 64


def estimate_tokens(text: str) -> int:
    """Return about how many tokens the text has, at least 1."""
    return max(1, -(-len(text) // CHARACTERS_PER_TOKEN))


def prefix_hashes(prompt: str) -> tuple[int, ...]:
    """Return a hash for each whole block that covers all text up to its end."""
    text = prompt.encode()
    digest = xxhash.xxh3_64()
    hashes = []
    whole_bytes = len(text) - len(text) % BLOCK_BYTES
    last_start = min(whole_bytes, MAX_BLOCKS * BLOCK_BYTES)
    for start in range(0, last_start, BLOCK_BYTES):
        digest.update(text[start : start + BLOCK_BYTES])
        hashes.append(digest.intdigest())
    return tuple(hashes)
