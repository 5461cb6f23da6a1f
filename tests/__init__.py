"""Tests of marjoramfall."""

from loguru import logger

# Failures are injected on purpose; their log records would hide the result.
logger.remove()
