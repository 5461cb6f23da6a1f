"""Estimate the tokens of a prompt and hash its prefixes."""

import xxhash

CHARACTERS_PER_TOKEN = 4
BLOCK_BYTES = 256
# Bounds the size of a grant request; 64 blocks are about 4,000 tokens.
MAX_BLOCKS = 64


def estimate_tokens(text: str) -> int:
    """Return the estimated number of tokens of a text, at least 1."""
    return max(1, -(-len(text) // CHARACTERS_PER_TOKEN))


def prefix_hashes(prompt: str) -> tuple[int, ...]:
    """Return one hash per complete block, for at most `MAX_BLOCKS` blocks.

    Each hash covers all text up to the end of its block.
    """
    text = prompt.encode()
    digest = xxhash.xxh3_64()
    hashes = []
    whole_bytes = len(text) - len(text) % BLOCK_BYTES
    end = min(whole_bytes, MAX_BLOCKS * BLOCK_BYTES)
    for start in range(0, end, BLOCK_BYTES):
        digest.update(text[start : start + BLOCK_BYTES])
        hashes.append(digest.intdigest())
    return tuple(hashes)
