"""Estimate the work of a prompt and name its prefixes."""

import xxhash

CHARACTERS_PER_TOKEN = 4
BLOCK_CHARACTERS = 256
# Bounds the size of an ask for a grant; 64 blocks are about 4,000 tokens.
MAX_BLOCKS = 64


def estimate_tokens(text: str) -> int:
    """Return about how many tokens the text has, at least 1."""
    return max(1, -(-len(text) // CHARACTERS_PER_TOKEN))


def prefix_hashes(prompt: str) -> tuple[int, ...]:
    """Return a hash for each whole block that covers all text up to its end."""
    digest = xxhash.xxh3_64()
    hashes = []
    whole_characters = len(prompt) - len(prompt) % BLOCK_CHARACTERS
    last_start = min(whole_characters, MAX_BLOCKS * BLOCK_CHARACTERS)
    for start in range(0, last_start, BLOCK_CHARACTERS):
        digest.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        hashes.append(digest.intdigest())
    return tuple(hashes)
