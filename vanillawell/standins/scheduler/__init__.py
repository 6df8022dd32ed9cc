"""Stand in for what the scheduler meets on the users' platform, in its published formats."""
