"""Divide prompts into blocks, the units of the prefix cache.

A block is 64 tokens, that is 256 bytes of UTF-8. The hash of a block is the
unsigned xxh3_64 of the whole prompt up to the block's end, so that equal
hashes mean equal prefixes. A trailing part of a block is not cached.
"""

import msgspec
import xxhash

from marjoramfall.replay.expected import CHARACTERS_PER_TOKEN, chat_line

BLOCK_TOKENS = 64
BLOCK_BYTES = BLOCK_TOKENS * CHARACTERS_PER_TOKEN


class ChatMessage(msgspec.Struct):
    """Hold one message of a chat."""

    role: str
    content: str


def chat_prompt(messages: list[ChatMessage]) -> str:
    """Return the prompt of a chat: role and content in lines of their own."""
    return ''.join(chat_line(message.role, message.content) for message in messages)


def block_hashes(prompt: str) -> tuple[int, ...]:
    """Return the hashes of the prompt's whole blocks, in order."""
    encoded = prompt.encode()
    hasher = xxhash.xxh3_64()
    hashes = []
    for start in range(0, len(encoded) - BLOCK_BYTES + 1, BLOCK_BYTES):
        hasher.update(encoded[start : start + BLOCK_BYTES])
        hashes.append(hasher.intdigest())
    return tuple(hashes)
