"""Hold the tests, mirroring the modules."""
