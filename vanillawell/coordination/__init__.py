"""Turn decisions into messages between entries and the store."""
