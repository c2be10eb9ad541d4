"""A model of several entries that share the capacity of the same targets."""
