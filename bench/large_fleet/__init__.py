"""A model of hundreds of targets that are shared by dozens of entries."""
