"""Test what the scheduler derives from a prompt."""

import unittest

from marjoramfall.request.prompt import (
    BLOCK_CHARACTERS,
    MAX_BLOCKS,
    estimate_tokens,
    prefix_hashes,
)


class PromptTest(unittest.TestCase):
    """Estimate tokens and name prefixes."""

    def test_prefix_hashes(self):
        """Guard against expected cache hits after a different beginning."""
        shared = 'a' * BLOCK_CHARACTERS
        first = prefix_hashes(f'{shared}{"b" * BLOCK_CHARACTERS}rest')
        second = prefix_hashes(f'{shared}{"c" * BLOCK_CHARACTERS}')
        moved = prefix_hashes(f'x{shared}{"b" * BLOCK_CHARACTERS}')
        self.assertEqual(len(first), 2)
        self.assertEqual(first[0], second[0])
        self.assertNotEqual(first[1], second[1])
        self.assertTrue(set(first).isdisjoint(moved))

    def test_long_prompt(self):
        """Guard against an ask for a grant that grows with the prompt."""
        prompt = 'é' * BLOCK_CHARACTERS * (MAX_BLOCKS + 5)
        self.assertEqual(len(prefix_hashes(prompt)), MAX_BLOCKS)
        self.assertEqual(estimate_tokens('12345'), 2)
