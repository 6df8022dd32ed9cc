"""Implement the operators' commands, one module for each group."""
