"""Tests of marjoramfall."""
