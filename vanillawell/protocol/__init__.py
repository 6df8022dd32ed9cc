"""Define the messages and types that cross a process border."""
