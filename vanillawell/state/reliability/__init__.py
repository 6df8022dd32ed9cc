"""Judge executors by what they do: failed runs against completed ones, and restarts."""
