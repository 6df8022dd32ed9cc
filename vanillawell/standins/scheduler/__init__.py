"""Stand-ins for the platform services of the scheduler, speaking their published formats."""
