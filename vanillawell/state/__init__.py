"""Decide on plain data, without input or output."""
