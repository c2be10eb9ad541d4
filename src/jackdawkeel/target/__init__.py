"""Calls from an agent to its own target."""
