"""Stand-ins of the platform for the cases of the review; they share no code with the product."""
