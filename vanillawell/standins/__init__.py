"""Emulators of the platform, the backend servers and a faulty network."""
