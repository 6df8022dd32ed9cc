"""Define the messages, stored documents and remote calls that cross a process boundary."""
