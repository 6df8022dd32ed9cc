"""Measure the product against plain baselines, with seeded load and faults by name."""
