"""A model of several entries that share the room of the same targets."""
