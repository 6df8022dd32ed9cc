"""Adapt the scheduler to the users' platform: its services, names and document formats."""
