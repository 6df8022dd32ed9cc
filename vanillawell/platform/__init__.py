"""Speak the users' platform's names and formats; nothing here decides anything."""
