"""Stand in for the platform, backend servers and a faulty network."""
