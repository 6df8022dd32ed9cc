"""Play real scheduler processes against stand-ins under overlapping faults, and check the rules."""
