import unittest

from marjoramfall.request.prompt import BLOCK_BYTES, MAX_BLOCKS, prefix_hashes
from marjoramfall_standins.engine.prompt import block_hashes


class PrefixHashesTest(unittest.TestCase):
    """Check that entries and engines name the same prefixes."""

    def test_equal_to_the_engine(self):
        """Guards against cache events that match no prompt, in any script."""
        for prompt in ('plan ' * 200, 'გეგმა ' * 200):
            hashes = prefix_hashes(prompt)
            self.assertTrue(hashes)
            self.assertEqual(hashes, block_hashes(prompt)[: len(hashes)])

    def test_bounded(self):
        """Guards against asks for grants that grow with the prompt."""
        prompt = 'x' * BLOCK_BYTES * (MAX_BLOCKS + 5)
        self.assertEqual(len(prefix_hashes(prompt)), MAX_BLOCKS)
