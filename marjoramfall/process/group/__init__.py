"""Carry asks and grants between entries and a group's dispatcher."""
