"""Compute the text that a stand-in engine must give for a prompt."""

from functools import lru_cache

import xxhash

CHARACTERS_PER_TOKEN = 4
CACHED_PROMPTS = 1024


@lru_cache(maxsize=CACHED_PROMPTS)
def _prompt_digest(prompt: str) -> str:
    return xxhash.xxh3_64_hexdigest(prompt.encode())


def expected_token(prompt: str, request_id: str, index: int) -> str:
    """Return the text of one token; it depends on prompt, id and index."""
    seed = f'{_prompt_digest(prompt)}/{request_id}/{index}'
    digest = xxhash.xxh3_64_hexdigest(seed.encode())
    return f'{digest[: CHARACTERS_PER_TOKEN - 1]} '


def expected_text(prompt: str, request_id: str, count: int) -> str:
    """Return the text of the first `count` tokens."""
    return ''.join(expected_token(prompt, request_id, index) for index in range(count))


def count_tokens(text: str) -> int:
    """Return the tokens of a prompt, at least 1."""
    return max(1, -(-len(text.encode()) // CHARACTERS_PER_TOKEN))


def chat_line(role: str, content: str) -> str:
    """Return what one chat message adds to the prompt."""
    return f'{role}\n{content}\n'
