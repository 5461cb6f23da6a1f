"""Test token estimates and prefix hashes of prompts."""

import unittest

from marjoramfall.request.prompt import (
    BLOCK_BYTES,
    MAX_BLOCKS,
    estimate_tokens,
    prefix_hashes,
)
from marjoramfall_standins.engine.prompt import block_hashes


class PromptTest(unittest.TestCase):
    """Check token estimates and prefix hashes."""

    def test_prefix_hashes(self):
        """Guards against equal hashes for prompts that begin differently."""
        shared = 'a' * BLOCK_BYTES
        first = prefix_hashes(f'{shared}{"b" * BLOCK_BYTES}rest')
        second = prefix_hashes(f'{shared}{"c" * BLOCK_BYTES}')
        moved = prefix_hashes(f'x{shared}{"b" * BLOCK_BYTES}')
        self.assertEqual(len(first), 2)
        self.assertEqual(first[0], second[0])
        self.assertNotEqual(first[1], second[1])
        self.assertTrue(set(first).isdisjoint(moved))

    def test_hashes_match_engine(self):
        """Guards against cache events whose hashes match no prompt.

        The engine hashes prefixes itself; a non-ASCII prompt must give the same
        blocks on both sides.
        """
        for prompt in ('plan ' * 200, 'გეგმა ' * 200):
            hashes = prefix_hashes(prompt)
            self.assertTrue(hashes)
            self.assertEqual(hashes, block_hashes(prompt)[: len(hashes)])

    def test_long_prompt(self):
        """Guards against grant requests that grow with the length of the prompt."""
        prompt = 'é' * BLOCK_BYTES * (MAX_BLOCKS + 5)
        self.assertEqual(len(prefix_hashes(prompt)), MAX_BLOCKS)
        self.assertEqual(estimate_tokens('12345'), 2)
