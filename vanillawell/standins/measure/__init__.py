"""Measurements of the product against simple baselines, with seeded load and named faults."""
